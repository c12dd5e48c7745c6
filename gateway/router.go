package gateway

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"

	"samphirepass"
)

// Router finds the routes of requests in one routing document; it is safe for concurrent use.
type Router struct {
	routing samphirepass.Routing
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]samphirepass.Route
	// balancers holds the balancer of each route with several services.
	balancers map[samphirepass.RouteKey]*weightedRoundRobin
	// labels holds the names of routes in logs and metrics: that of the document, with host and prefix if several routes have it.
	labels map[samphirepass.RouteKey]string
	// shards is the set of services that are a shard of some route.
	shards map[samphirepass.Service]bool
	// maxShards is the largest number of shards of a route.
	maxShards int
	// accounts holds the client accounts by the digests of their keys.
	accounts map[samphirepass.KeyDigest]*samphirepass.Account
}

// NewRouter returns a router for a valid document.
func NewRouter(routing samphirepass.Routing) *Router {
	r := &Router{
		routing: routing, hosts: map[string][]samphirepass.Route{}, balancers: map[samphirepass.RouteKey]*weightedRoundRobin{},
		labels: routeLabels(routing.Routes), shards: map[samphirepass.Service]bool{},
	}
	for _, route := range routing.Routes {
		host := strings.ToLower(route.Host)
		r.hosts[host] = append(r.hosts[host], route)
		r.maxShards = max(r.maxShards, len(route.ShardServices))
		for _, shard := range route.ShardServices {
			r.shards[shard] = true
		}
		if len(route.Services) > 1 {
			r.balancers[route.Key()] = newWeightedRoundRobin(route.Services)
		}
	}
	r.accounts = accountsByKey(routing.Accounts)
	for _, routes := range r.hosts {
		slices.SortFunc(routes, func(a, b samphirepass.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return r
}

func accountsByKey(accounts []samphirepass.Account) map[samphirepass.KeyDigest]*samphirepass.Account {
	byKey := make(map[samphirepass.KeyDigest]*samphirepass.Account, len(accounts))
	for i := range accounts {
		for _, key := range accounts[i].Keys {
			byKey[key] = &accounts[i]
		}
	}
	return byKey
}

// Authenticate returns the account of a request to the route, nil if it needs none, and reports whether the request may be sent.
func (r *Router) Authenticate(route samphirepass.Route, key *samphirepass.KeyDigest) (*samphirepass.Account, bool) {
	if !r.routing.HasAccounts {
		return nil, true
	}
	if key != nil {
		if account := r.accounts[*key]; account != nil {
			return account, true
		}
	}
	return nil, route.Public
}

// routeLabels returns a label for each route that no other one has.
func routeLabels(routes []samphirepass.Route) map[samphirepass.RouteKey]string {
	count := make(map[samphirepass.RouteName]int, len(routes))
	for _, route := range routes {
		count[route.Name]++
	}
	labels := make(map[samphirepass.RouteKey]string, len(routes))
	for _, route := range routes {
		label := string(route.Name)
		if count[route.Name] > 1 {
			key := route.Key()
			label = strings.TrimSpace(fmt.Sprintf("%s %s%s", route.Name, key.Host, key.Prefix))
		}
		labels[route.Key()] = label
	}
	return labels
}

// Label returns the name of a route in logs and metrics.
func (r *Router) Label(route samphirepass.Route) string { return r.labels[route.Key()] }

// Routing returns the document of the router.
func (r *Router) Routing() samphirepass.Routing { return r.routing }

// Find returns the route of host whose prefix is the longest that matches path, and reports whether there is one.
// host may include a port.
func (r *Router) Find(host, path string) (samphirepass.Route, bool) {
	host = strings.ToLower(host)
	routes, ok := r.hosts[host]
	if name, _, err := net.SplitHostPort(host); !ok && err == nil {
		routes = r.hosts[name]
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return samphirepass.Route{}, false
}

// SelectServices returns the services to which a request of the route goes: all shards, or one service chosen by weight.
func (r *Router) SelectServices(route samphirepass.Route) []samphirepass.Service {
	if route.IsScatterGather() {
		return route.ShardServices
	}
	if b := r.balancers[route.Key()]; b != nil {
		return []samphirepass.Service{b.next()}
	}
	return []samphirepass.Service{route.Services[0].Service}
}

// weightedRoundRobin distributes requests over services by smooth weighted round robin: after any number of requests each service
// is close to its share.
type weightedRoundRobin struct {
	services    []samphirepass.WeightedService
	totalWeight float64

	mu sync.Mutex
	// credit is how far each service is below its share of the requests, in units of weight.
	credit []float64
}

func newWeightedRoundRobin(services []samphirepass.WeightedService) *weightedRoundRobin {
	w := &weightedRoundRobin{services: services, credit: make([]float64, len(services))}
	for _, s := range services {
		w.totalWeight += s.Weight
	}
	return w
}

// next returns the service that is furthest below its share.
func (w *weightedRoundRobin) next() samphirepass.Service {
	w.mu.Lock()
	defer w.mu.Unlock()
	best := 0
	for i, s := range w.services {
		w.credit[i] += s.Weight
		if w.credit[i] > w.credit[best] {
			best = i
		}
	}
	w.credit[best] -= w.totalWeight
	return w.services[best].Service
}
