package gateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/gateway"
)

func route(name, host, prefix string, services ...samphirepass.WeightedService) samphirepass.Route {
	return samphirepass.Route{
		Name: samphirepass.RouteName(name), Host: host, Prefix: prefix, Kind: samphirepass.Repeatable,
		TimeoutMs: 1000, LatencyTargetMs: 100, MaxAttempts: 2, Services: services,
	}
}

func weighted(service string, weight float64) samphirepass.WeightedService {
	return samphirepass.WeightedService{Service: samphirepass.Service(service), Weight: weight}
}

func TestFindRoute(t *testing.T) {
	r := gateway.NewRouter(samphirepass.Routing{Version: 1, Routes: []samphirepass.Route{
		route("short", "A.example", "/x/", weighted("s", 1)),
		route("long", "a.example", "/x/y/", weighted("s", 1)),
		route("other", "b.example", "/x/", weighted("s", 1)),
	}})
	tests := map[string]struct{ host, path, want string }{
		"shorter prefix":         {"a.example", "/x/z", "short"},
		"longer prefix":          {"a.example", "/x/y/z", "long"},
		"prefix without its end": {"a.example", "/x/y", "short"},
		"host in another case":   {"A.EXAMPLE", "/x/", "short"},
		"host with a port":       {"b.example:8080", "/x/1", "other"},
		"unknown host":           {"c.example", "/x/", ""},
		"no prefix":              {"a.example", "/z/", ""},
		"path is not a prefix":   {"a.example", "/x", ""},
		"escaped slash is none":  {"a.example", "/x%2Fy/", ""},
		"prefix inside the path": {"a.example", "/a/x/", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := r.Find(tt.host, tt.path)
			require.Equal(t, tt.want != "", ok)
			require.Equal(t, samphirepass.RouteName(tt.want), got.Name)
		})
	}
}

// TestServicesAreSelectedByWeight checks the share of each service after every request, not only at the end.
func TestServicesAreSelectedByWeight(t *testing.T) {
	tests := map[string][]samphirepass.WeightedService{
		"even":         {weighted("a", 1), weighted("b", 1)},
		"uneven":       {weighted("a", 9), weighted("b", 1)},
		"three":        {weighted("a", 0.5), weighted("b", 0.3), weighted("c", 0.2)},
		"one is empty": {weighted("a", 1), weighted("b", 0)},
	}
	for name, services := range tests {
		t.Run(name, func(t *testing.T) {
			splitRoute := route("r", "h", "/", services...)
			r := gateway.NewRouter(samphirepass.Routing{Version: 1, Routes: []samphirepass.Route{splitRoute}})
			total := 0.0
			for _, s := range services {
				total += s.Weight
			}
			counts := map[samphirepass.Service]int{}
			for n := 1; n <= 500; n++ {
				selected := r.SelectServices(splitRoute)
				require.Len(t, selected, 1)
				counts[selected[0]]++
				for _, s := range services {
					require.InDelta(t, float64(n)*s.Weight/total, float64(counts[s.Service]), float64(len(services)), "after %d requests", n)
				}
			}
			for _, s := range services {
				if s.Weight == 0 {
					require.Zero(t, counts[s.Service])
				}
			}
		})
	}
}

// TestProofRoutesOfOneNameKeepTheirServices guards against a request that runs at the services of another route, which has the same name on
// another host.
func TestProofRoutesOfOneNameKeepTheirServices(t *testing.T) {
	r := gateway.NewRouter(samphirepass.Routing{Version: 1, Routes: []samphirepass.Route{
		route("report", "a.example", "/x/", weighted("a1", 1), weighted("a2", 1)),
		route("report", "B.example", "/x/", weighted("b", 1)),
		route("report", "c.example", "/x/", weighted("c1", 3), weighted("c2", 1)),
		route("report", "c.example", "/y/", weighted("d1", 1), weighted("d2", 1)),
		route("", "e.example", "/x/", weighted("e1", 1), weighted("e2", 1)),
		route("", "f.example", "/x/", weighted("f", 1)),
		route("other", "g.example", "/x/", weighted("g", 1)),
	}})
	tests := map[string]struct {
		host, path, label string
		services          []string
	}{
		"first split":           {"a.example", "/x/", "report a.example/x/", []string{"a1", "a2"}},
		"single service":        {"b.example", "/x/", "report b.example/x/", []string{"b"}},
		"second split":          {"c.example", "/x/", "report c.example/x/", []string{"c1", "c2"}},
		"same host":             {"c.example", "/y/", "report c.example/y/", []string{"d1", "d2"}},
		"split without a name":  {"e.example", "/x/", "e.example/x/", []string{"e1", "e2"}},
		"single without a name": {"f.example", "/x/", "f.example/x/", []string{"f"}},
		"name of its own":       {"g.example", "/x/", "other", []string{"g"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			found, ok := r.Find(tt.host, tt.path)
			require.True(t, ok)
			require.Equal(t, tt.label, r.Label(found))
			selected := map[string]bool{}
			for range 8 {
				selected[string(r.SelectServices(found)[0])] = true
			}
			require.Len(t, selected, len(tt.services))
			for _, s := range tt.services {
				require.True(t, selected[s], s)
			}
		})
	}
}
