package samphirepass

import (
	"fmt"
	"strings"
)

// RoutingVersion numbers the operators' routing documents; a higher one replaces a lower one entirely, and 0 means none.
type RoutingVersion uint64

// RouteName names a route of a routing document for operators; it need not be unique.
type RouteName string

// Repeatability determines how often a request of a route may run.
type Repeatability string

// The kinds of requests of a route.
const (
	// Repeatable requests may run more than once.
	Repeatable Repeatability = "repeatable"
	// AtMostOnce requests may run at most once for each request of a client.
	AtMostOnce Repeatability = "at-most-once"
)

// WeightedService is a service of a route with its share of the requests.
type WeightedService struct {
	Service Service
	// Weight is relative to the other weights of the route.
	Weight float64
}

// Route declares which requests are sent to which services, and how.
type Route struct {
	Name RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Repeatability
	// TimeoutMs is the longest time that a client waits for its answer.
	TimeoutMs Millis
	// LatencyTargetMs is the time within which an answer is fully useful, 0 if none is declared.
	LatencyTargetMs Millis
	// Rank orders routes by importance, 0 first.
	Rank int
	// MaxAttempts bounds the number of leaves to which a request is sent, for each shard.
	MaxAttempts int
	// Services share the requests by weight; empty if ShardServices is set.
	Services []WeightedService
	// ShardServices are the shards of a scatter-gather route; each request goes to one leaf of each.
	ShardServices []Service
	// TopK is the number of records that a merged answer keeps.
	TopK int
	// MinShardShare is the share of the shards that must answer for the request to succeed.
	MinShardShare float64
	// Public routes take requests without a key, if accounts are declared.
	Public bool
}

// RouteKey identifies a route. Requests are told apart by host and path, so several routes may have one name.
type RouteKey struct {
	// Host is in lower case.
	Host, Prefix string
}

// Key returns the key of the route.
func (r Route) Key() RouteKey { return RouteKey{Host: strings.ToLower(r.Host), Prefix: r.Prefix} }

// IsScatterGather reports whether requests are sent to all of a set of shards.
func (r Route) IsScatterGather() bool { return len(r.ShardServices) > 0 }

// AllServices returns every service that the route may send requests to.
func (r Route) AllServices() []Service {
	if r.IsScatterGather() {
		return r.ShardServices
	}
	services := make([]Service, len(r.Services))
	for i, s := range r.Services {
		services[i] = s.Service
	}
	return services
}

// ClientLimits bound what a client may send and how long it may take.
type ClientLimits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	HeaderTimeoutMs Millis
	IdleTimeoutMs   Millis
}

// Routing is a decoded routing document; it is immutable.
type Routing struct {
	Version RoutingVersion
	Routes  []Route
	// Connections holds the total number of connections that each leaf of a declared service accepts, 0 if not stated.
	Connections  map[Service]int
	ClientLimits ClientLimits
	// Accounts are the client accounts. If HasAccounts is set, a request to a route that is not public needs the key of one.
	Accounts    []Account
	HasAccounts bool
	// WarmUps holds the warm-up of the leaves of each service that declares one.
	WarmUps map[Service]WarmUp
}

// WarmUp declares how the leaves of a service behave after their start.
type WarmUp struct {
	// DurationMs is how long a leaf stays cold.
	DurationMs Millis
	// PerSecond is the number of requests a second that a cold leaf tolerates from all gateways together, 0 if there is no limit.
	PerSecond float64
}

// Validate returns a refusal that names the first invalid route and field, or nil.
func (r Routing) Validate() error {
	seen := make(map[RouteKey]RouteName, len(r.Routes))
	for i, route := range r.Routes {
		if problem, field := r.checkRoute(route); problem != "" {
			return invalidRoute(i, route, field, problem)
		}
		if other, taken := seen[route.Key()]; taken {
			return invalidRoute(i, route, "prefix", fmt.Sprintf("route %q has the same host and prefix", other))
		}
		seen[route.Key()] = route.Name
	}
	return r.checkAccounts()
}

// checkAccounts refuses accounts of the same name, and keys that belong to two accounts.
func (r Routing) checkAccounts() error {
	names := make(map[AccountName]bool, len(r.Accounts))
	owners := make(map[KeyDigest]AccountName, len(r.Accounts))
	for i, a := range r.Accounts {
		if a.Name == "" {
			return invalidAccount(i, "name", "the account has no name")
		}
		if names[a.Name] {
			return invalidAccount(i, "name", fmt.Sprintf("another account is named %q, too", a.Name))
		}
		names[a.Name] = true
		if !(a.Quota.PerSecond >= 0) || !(a.Quota.Burst >= 0) {
			return invalidAccount(i, "quota", fmt.Sprintf("the quota of account %q is below 0", a.Name))
		}
		for _, key := range a.Keys {
			if owner, taken := owners[key]; taken && owner != a.Name {
				return invalidAccount(i, "keys", fmt.Sprintf("accounts %q and %q share a key", owner, a.Name))
			}
			owners[key] = a.Name
		}
	}
	return nil
}

func invalidAccount(i int, field, problem string) error {
	refusal := Refuse(CodeInvalid, "%s", problem)
	refusal.Field = fmt.Sprintf("accounts[%d].%s", i, field)
	return refusal
}

func invalidRoute(i int, route Route, field, problem string) error {
	refusal := Refuse(CodeInvalid, "route %q: %s", route.Name, problem)
	refusal.Field = fmt.Sprintf("routes[%d].%s", i, field)
	return refusal
}

// checkRoute returns what is wrong with a route and the field at fault, or empty strings.
func (r Routing) checkRoute(route Route) (problem, field string) {
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

// RoutingDocument is a routing document in its source form, which only the operators' protocol can decode.
type RoutingDocument struct {
	Version RoutingVersion
	Source  []byte
}

// RoutingReader decodes the documents of an operators' protocol; its errors are refusals that name the invalid field.
type RoutingReader interface {
	ReadRouting(source []byte) (Routing, error)
}
