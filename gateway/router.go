package gateway

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync"

	"samphirepass"
)

// Router finds the route of a request in one routing document; it is safe for concurrent use.
type Router struct {
	routing samphirepass.Routing
	// hosts holds the routes of each host, the longest prefix first.
	hosts  map[string][]samphirepass.Route
	splits map[samphirepass.RouteName]*split
	// shards holds the services that are a shard of some route.
	shards map[samphirepass.Service]bool
}

// NewRouter returns a router over a valid document.
func NewRouter(routing samphirepass.Routing) *Router {
	r := &Router{routing: routing, hosts: map[string][]samphirepass.Route{}, splits: map[samphirepass.RouteName]*split{}, shards: map[samphirepass.Service]bool{}}
	for _, route := range routing.Routes {
		host := strings.ToLower(route.Host)
		r.hosts[host] = append(r.hosts[host], route)
		for _, shard := range route.ShardServices {
			r.shards[shard] = true
		}
		if len(route.Services) > 1 {
			r.splits[route.Name] = newSplit(route.Services)
		}
	}
	for _, routes := range r.hosts {
		slices.SortFunc(routes, func(a, b samphirepass.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return r
}

// Routing returns the document.
func (r *Router) Routing() samphirepass.Routing { return r.routing }

// Find returns the route with the longest prefix of path among those of host, which may have a port.
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

// SelectServices returns the services that a request of a route goes to: all shards, or the one service whose turn it is.
func (r *Router) SelectServices(route samphirepass.Route) []samphirepass.Service {
	if route.IsScatterGather() {
		return route.ShardServices
	}
	if s := r.splits[route.Name]; s != nil {
		return []samphirepass.Service{s.next()}
	}
	return []samphirepass.Service{route.Services[0].Service}
}

// split shares requests out by weight with as little deviation as possible at any time.
type split struct {
	parts []samphirepass.WeightedService
	total float64

	mu     sync.Mutex
	credit []float64
}

func newSplit(parts []samphirepass.WeightedService) *split {
	s := &split{parts: parts, credit: make([]float64, len(parts))}
	for _, p := range parts {
		s.total += p.Weight
	}
	return s
}

// next returns the service that is furthest behind its share.
func (s *split) next() samphirepass.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i, p := range s.parts {
		s.credit[i] += p.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= s.total
	return s.parts[best].Service
}
