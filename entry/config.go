package entry

import (
	"encoding/json"
	"slices"

	"samphirepass"
	"samphirepass/blackboard"
	"samphirepass/control"
	"samphirepass/ledger"
)

// maxEvents is the number of past events kept; a watch that asks for older ones cannot resume.
const maxEvents = 4096

// ApplySyncReply returns cfg updated by the reply to a request that was sent at revision since, and whether it changed.
// A reply that is no newer than cfg, or whose events do not follow on from cfg, is ignored.
func ApplySyncReply(cfg blackboard.Config, since samphirepass.Revision, reply control.SyncReply) (blackboard.Config, bool) {
	if reply.Revision <= cfg.Revision {
		return cfg, false
	}
	if !reply.Full && since != cfg.Revision {
		// The events of the reply start after the requested revision, so they apply to that one only.
		return cfg, false
	}
	next := blackboard.Config{
		Revision: reply.Revision, Seats: reply.View.Seats, SeatCount: reply.View.SeatCount,
		Events: cfg.Events, EventsAfter: cfg.EventsAfter,
	}
	if reply.Full {
		next.Resources = resourcesByKey(reply.View.Resources)
		next.Events, next.EventsAfter = nil, reply.Revision
	} else {
		next.Resources = cloneResources(cfg.Resources)
		applyEvents(&next, reply.Events)
	}
	decodeSpecs(&next)
	return next, true
}

func resourceKey(r samphirepass.Resource) string {
	return string(r.Kind) + "/" + r.Name
}

func resourcesByKey(resources []samphirepass.Resource) map[string]samphirepass.Resource {
	byKey := make(map[string]samphirepass.Resource, len(resources))
	for _, r := range resources {
		byKey[resourceKey(r)] = r
	}
	return byKey
}

func cloneResources(resources map[string]samphirepass.Resource) map[string]samphirepass.Resource {
	clone := make(map[string]samphirepass.Resource, len(resources))
	for key, r := range resources {
		clone[key] = r
	}
	return clone
}

func applyEvents(cfg *blackboard.Config, events []samphirepass.ResourceEvent) {
	for _, e := range events {
		if e.Deleted {
			delete(cfg.Resources, resourceKey(e.Resource))
		} else {
			cfg.Resources[resourceKey(e.Resource)] = e.Resource
		}
	}
	cfg.Events = append(slices.Clone(cfg.Events), events...)
	if extra := len(cfg.Events) - maxEvents; extra > 0 {
		cfg.EventsAfter = cfg.Events[extra-1].Revision
		cfg.Events = cfg.Events[extra:]
	}
}

// decodeSpecs sets the services and callers of cfg from its resources. It skips a spec that cannot be decoded; specs are
// validated before control accepts them.
func decodeSpecs(cfg *blackboard.Config) {
	cfg.Services = map[samphirepass.Service]samphirepass.ServiceSpec{}
	cfg.Callers = map[samphirepass.Caller]samphirepass.CallerSpec{}
	for _, r := range cfg.Resources {
		switch r.Kind {
		case samphirepass.KindService:
			var spec samphirepass.ServiceSpec
			if json.Unmarshal(r.Spec, &spec) == nil {
				cfg.Services[samphirepass.Service(r.Name)] = spec
			}
		case samphirepass.KindCaller:
			var spec samphirepass.CallerSpec
			if json.Unmarshal(r.Spec, &spec) == nil {
				cfg.Callers[samphirepass.Caller(r.Name)] = spec
			}
		}
	}
}

// NewSyncReply returns the reply of an entry with the configuration cfg to an entry at the older revision since:
// the events after since, or all resources if since is 0 or cfg no longer holds all of these events.
func NewSyncReply(cfg blackboard.Config, since samphirepass.Revision) control.SyncReply {
	reply := control.SyncReply{Revision: cfg.Revision}
	reply.View = ledger.View{Revision: cfg.Revision, Seats: cfg.Seats, SeatCount: cfg.SeatCount}
	if since == 0 || since < cfg.EventsAfter {
		reply.Full = true
		for _, r := range cfg.Resources {
			reply.View.Resources = append(reply.View.Resources, r)
		}
		return reply
	}
	for _, e := range cfg.Events {
		if e.Revision > since {
			reply.Events = append(reply.Events, e)
		}
	}
	return reply
}
