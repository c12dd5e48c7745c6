package collector_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/collector"
	"samphirepass/directory"
	"samphirepass/leaf"
	"samphirepass/logs"
	"samphirepass/metrics"
	"samphirepass/peer"
)

// TestProofCollectorLearnsEvacuationsOfRequest guards against a collector that is partitioned from the registrars and collects a part for an
// entry that is not: it would send requests to a data centre whose evacuation was acknowledged long ago.
func TestProofCollectorLearnsEvacuationsOfRequest(t *testing.T) {
	tests := map[string]struct {
		entry, collector samphirepass.Evacuations
		want             samphirepass.Evacuations
	}{
		"none were ordered": {},
		"the entry knows more": {
			entry:     samphirepass.Evacuations{Revision: 7, DataCentres: []samphirepass.DataCentre{"trent"}},
			collector: samphirepass.Evacuations{Revision: 5, DataCentres: []samphirepass.DataCentre{"soar"}},
			want:      samphirepass.Evacuations{Revision: 7, DataCentres: []samphirepass.DataCentre{"trent"}},
		},
		"the collector knows more": {
			entry:     samphirepass.Evacuations{Revision: 5, DataCentres: []samphirepass.DataCentre{"soar"}},
			collector: samphirepass.Evacuations{Revision: 7, DataCentres: []samphirepass.DataCentre{"trent"}},
			want:      samphirepass.Evacuations{Revision: 7, DataCentres: []samphirepass.DataCentre{"trent"}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			known := leaf.NewRegistry(clock)
			known.SetEvacuations(tt.collector)
			deliverer := &evacuationDeliverer{registry: known}
			server := collector.NewServer(deliverer, func() bool { return false }, metrics.NewMetrics(), logs.Logger{})
			server.OnEvacuations = func(e samphirepass.Evacuations) { known.SetEvacuations(e) }
			handlers := peer.NewHandlers()
			server.Register(handlers)
			ws := peer.NewServer(handlers)
			mux := http.NewServeMux()
			mux.Handle(peer.Path, ws)
			listener := httptest.NewServer(mux)
			peers := &peer.Pool{}
			t.Cleanup(func() {
				peers.Close()
				ws.Close()
				listener.Close()
			})
			offers := []directory.CollectorOffer{{Address: strings.TrimPrefix(listener.URL, "http://"), DataCentre: "derby", Capacity: samphirepass.Capacity{Cores: 2}}}
			registry := leaf.NewRegistry(clock)
			registry.SetEvacuations(tt.entry)
			c := collector.NewClient(collector.Options{
				VM: "small", Local: &fakeDeliverer{}, Registry: registry, Peers: peers, Offers: func() []directory.CollectorOffer { return append([]directory.CollectorOffer{}, offers...) },
				DataCentre: "derby", Capacity: samphirepass.Capacity{Cores: 1}, Clock: clock,
			})
			serveUntilConnected(t, c, peers, offers)
			c.Deliver(t.Context(), scatterGatherDelivery())
			require.Len(t, deliverer.calls(), 1)
			require.Equal(t, tt.want, deliverer.atDelivery)
		})
	}
}

// evacuationDeliverer records the evacuations in force when a request is delivered.
type evacuationDeliverer struct {
	fakeDeliverer
	registry   *leaf.Registry
	atDelivery samphirepass.Evacuations
}

func (d *evacuationDeliverer) Deliver(ctx context.Context, delivery leaf.Delivery) leaf.DeliveryResult {
	d.atDelivery = d.registry.Evacuations()
	return d.fakeDeliverer.Deliver(ctx, delivery)
}
