package entry

import (
	"encoding/json"
	"slices"

	"samphirepass"
	"samphirepass/blackboard"
	"samphirepass/control"
	"samphirepass/ledger"
)

// maxEvents is the number of events that watches can go back.
const maxEvents = 4096

// ApplySyncReply brings cfg forward by a reply to a request that had the revision have; an older reply changes nothing.
func ApplySyncReply(cfg blackboard.Config, have samphirepass.Revision, reply control.SyncReply) (blackboard.Config, bool) {
	if reply.Revision <= cfg.Revision {
		return cfg, false
	}
	if !reply.Full && have != cfg.Revision {
		// Events join on to the revision that they were asked for from.
		return cfg, false
	}
	next := blackboard.Config{
		Revision: reply.Revision, Seats: reply.View.Seats, SeatCount: reply.View.SeatCount,
		Events: cfg.Events, EventsAfter: cfg.EventsAfter,
	}
	if reply.Full {
		next.Resources = byName(reply.View.Resources)
		next.Events, next.EventsAfter = nil, reply.Revision
	} else {
		next.Resources = cloneResources(cfg.Resources)
		applyEvents(&next, reply.Events)
	}
	index(&next)
	return next, true
}

func resourceName(r samphirepass.Resource) string {
	return string(r.Kind) + "/" + r.Name
}

func byName(resources []samphirepass.Resource) map[string]samphirepass.Resource {
	out := make(map[string]samphirepass.Resource, len(resources))
	for _, r := range resources {
		out[resourceName(r)] = r
	}
	return out
}

func cloneResources(in map[string]samphirepass.Resource) map[string]samphirepass.Resource {
	out := make(map[string]samphirepass.Resource, len(in))
	for k, v := range in {
		out[k] = v
	}
	return out
}

func applyEvents(cfg *blackboard.Config, events []samphirepass.ResourceEvent) {
	for _, e := range events {
		if e.Deleted {
			delete(cfg.Resources, resourceName(e.Resource))
		} else {
			cfg.Resources[resourceName(e.Resource)] = e.Resource
		}
	}
	cfg.Events = append(slices.Clone(cfg.Events), events...)
	if extra := len(cfg.Events) - maxEvents; extra > 0 {
		cfg.EventsAfter = cfg.Events[extra-1].Revision
		cfg.Events = cfg.Events[extra:]
	}
}

// index decodes the specs; they were checked before they were accepted.
func index(cfg *blackboard.Config) {
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

// NewSyncReply returns what an entry with cfg tells one that has an older revision.
func NewSyncReply(cfg blackboard.Config, have samphirepass.Revision) control.SyncReply {
	reply := control.SyncReply{Revision: cfg.Revision}
	reply.View = ledger.View{Revision: cfg.Revision, Seats: cfg.Seats, SeatCount: cfg.SeatCount}
	if have == 0 || have < cfg.EventsAfter {
		reply.Full = true
		for _, r := range cfg.Resources {
			reply.View.Resources = append(reply.View.Resources, r)
		}
		return reply
	}
	for _, e := range cfg.Events {
		if e.Revision > have {
			reply.Events = append(reply.Events, e)
		}
	}
	return reply
}
