package samphirepass

import (
	"fmt"
	"strings"
)

// RoutingVersion numbers the operators' routing documents; a higher one replaces a lower one whole, and 0 means none.
type RoutingVersion uint64

// RouteName names one route of a routing document.
type RouteName string

// Repeatability says how often the requests of a route may run.
type Repeatability string

// The kinds of requests that a route takes.
const (
	// Repeatable requests may run more than once.
	Repeatable Repeatability = "repeatable"
	// AtMostOnce requests may run once at most for each request of a client.
	AtMostOnce Repeatability = "at-most-once"
)

// WeightedService is one service of a route with its share of the requests.
type WeightedService struct {
	Service Service
	// Weight is relative to the other weights of the route.
	Weight float64
}

// Route declares which requests go to which services, and how.
type Route struct {
	Name RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Repeatability
	// TimeoutMs is the longest time that a client is kept waiting.
	TimeoutMs Millis
	// LatencyTargetMs is the time within which an answer is of full use, 0 if none is declared.
	LatencyTargetMs Millis
	// Rank orders routes by importance, 0 first.
	Rank int
	// MaxAttempts bounds the leaves that one request is sent to, for each shard.
	MaxAttempts int
	// Services share the requests by weight; it is empty where Shards is set.
	Services []WeightedService
	// ShardServices are asked together, one leaf of each.
	ShardServices []Service
	// TopK is the number of records that an answer over shards keeps.
	TopK int
	// MinShardShare is the share of the shards below which an answer is none.
	MinShardShare float64
}

// IsScatterGather reports whether requests go to all of a set of shards.
func (r Route) IsScatterGather() bool { return len(r.ShardServices) > 0 }

// AllServices returns every service that the route may send requests to.
func (r Route) AllServices() []Service {
	if r.IsScatterGather() {
		return r.ShardServices
	}
	out := make([]Service, len(r.Services))
	for i, s := range r.Services {
		out[i] = s.Service
	}
	return out
}

// ClientLimits bound what a client may send, and how long it may take.
type ClientLimits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	HeaderTimeoutMs Millis
	IdleTimeoutMs   Millis
}

// Routing is one routing document; it is never changed in place.
type Routing struct {
	Version RoutingVersion
	Routes  []Route
	// Connections holds the number of connections that each leaf of a declared service accepts in all, 0 where none is stated.
	Connections  map[Service]int
	ClientLimits ClientLimits
}

// Validate returns a refusal that names the first route and field at fault, or nil.
func (r Routing) Validate() error {
	places := make(map[string]RouteName, len(r.Routes))
	for i, route := range r.Routes {
		if problem, field := r.fault(route); problem != "" {
			return invalidRoute(i, route, field, problem)
		}
		place := strings.ToLower(route.Host) + route.Prefix
		if other, taken := places[place]; taken {
			return invalidRoute(i, route, "prefix", fmt.Sprintf("route %q has the same host and prefix", other))
		}
		places[place] = route.Name
	}
	return nil
}

func invalidRoute(i int, route Route, field, problem string) error {
	refusal := Refuse(CodeInvalid, "route %q: %s", route.Name, problem)
	refusal.Field = fmt.Sprintf("routes[%d].%s", i, field)
	return refusal
}

func (r Routing) fault(route Route) (problem, field string) {
	switch {
	case route.TimeoutMs <= 0:
		return "the timeout is not above 0", "timeout"
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return "the prefix does not begin and end with a slash", "prefix"
	case len(route.AllServices()) == 0:
		return "no service is named", "services"
	}
	for _, s := range route.AllServices() {
		if _, ok := r.Connections[s]; !ok {
			return fmt.Sprintf("service %q is not declared", s), "services"
		}
	}
	if route.IsScatterGather() {
		return "", ""
	}
	total := 0.0
	for _, s := range route.Services {
		if s.Weight < 0 {
			return "a weight is below 0", "weights"
		}
		total += s.Weight
	}
	if total <= 0 {
		return "the weights add up to 0", "weights"
	}
	return "", ""
}

// RoutingDocument is a routing document as the operator wrote it, which only the operators' protocol reads.
type RoutingDocument struct {
	Version RoutingVersion
	Source  []byte
}

// RoutingReader decodes the documents of one operators' protocol; its errors are refusals that name the field at fault.
type RoutingReader interface {
	ReadRouting(source []byte) (Routing, error)
}
