package daemon

import (
	"context"

	"github.com/thejerf/suture/v4"

	"samphirepass/logs"
	"samphirepass/peer"
)

// namedService gives a service the name under which the supervisor logs it.
type namedService struct {
	suture.Service
	name string
}

// String returns the name.
func (s namedService) String() string { return s.name }

// newSupervisor returns a supervisor of the services, by name. It logs failures until ctx ends: services that end after that were
// stopped on purpose.
func newSupervisor(ctx context.Context, name string, log logs.Logger, services map[string]suture.Service) *suture.Supervisor {
	supervisor := suture.New(name, suture.Spec{EventHook: func(event suture.Event) {
		if ctx.Err() == nil {
			logServiceEvent(log, event)
		}
	}})
	for serviceName, s := range services {
		supervisor.Add(namedService{s, serviceName})
	}
	return supervisor
}

func logServiceEvent(log logs.Logger, event suture.Event) {
	switch e := event.(type) {
	case suture.EventServicePanic:
		log.Errorf("Service %q panicked, restarting: %t, failures: %.1f, reason: %s, stack: %s.", e.ServiceName, e.Restarting, e.CurrentFailures, e.PanicMsg, e.Stacktrace)
	case suture.EventServiceTerminate:
		log.Errorf("Service %q failed, restarting: %t, failures: %.1f, reason: %v.", e.ServiceName, e.Restarting, e.CurrentFailures, e.Err)
	case suture.EventStopTimeout:
		log.Errorf("Service %q did not stop in time.", e.ServiceName)
	case suture.EventBackoff:
		log.Errorf("Services of %s fail too often; restarts are delayed.", e.SupervisorName)
	case suture.EventResume:
		log.Infof("Services of %s are restarted again.", e.SupervisorName)
	default:
		log.Errorf("Supervisor: %s.", event)
	}
}

// newHandlers returns handlers for messages of peers that log their panics.
func newHandlers(log logs.Logger) *peer.Handlers {
	h := peer.NewHandlers()
	peerLog := log.For("peer")
	h.OnPanic = func(kind string, reason any, stack []byte) {
		peerLog.Errorf("Handler of %q panicked: %v, stack: %s.", kind, reason, stack)
	}
	return h
}
