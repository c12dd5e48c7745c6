package leaf_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
)

// TestProofDrainHeldByFewIsNotAcknowledged guards against a drain that is forgotten when the entry that acknowledged it ends, because no
// other entry had it.
func TestProofDrainHeldByFewIsNotAcknowledged(t *testing.T) {
	type scenario struct {
		state            samphirepass.LeafState
		holders, entries int
		status           int
	}
	tests := map[string]scenario{
		"held by all":                               {samphirepass.LeafDraining, 3, 3, http.StatusOK},
		"held by a majority":                        {samphirepass.LeafDraining, 2, 3, http.StatusOK},
		"held by half":                              {samphirepass.LeafDraining, 2, 4, http.StatusServiceUnavailable},
		"held by this entry alone":                  {samphirepass.LeafDraining, 1, 3, http.StatusServiceUnavailable},
		"the only entry":                            {samphirepass.LeafDraining, 1, 1, http.StatusOK},
		"the other entries are not yet known":       {samphirepass.LeafDraining, 1, 0, http.StatusServiceUnavailable},
		"a leaf that serves, held by this entry":    {samphirepass.LeafServing, 1, 3, http.StatusOK},
		"a leaf that serves, entries not yet known": {samphirepass.LeafServing, 1, 0, http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			registry := leaf.NewRegistry(samphirepass.SystemClock{})
			handler := leaf.AnnouncementHandler(registry, func(context.Context, samphirepass.Announcement) (holders, entries int) {
				return test.holders, test.entries
			})
			body := `{"leaf": "l", "service": "s", "address": "127.0.0.1:9", "data-centre": "d", "incarnation": 1, "sequence": 1, "state": "` + string(test.state) +
				`", "holdings": [], "slots": 1, "connections": 1}`
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/announcements", strings.NewReader(body)))
			require.Equal(t, test.status, w.Code, w.Body.String())
			all := registry.All()
			require.Len(t, all, 1)
			require.Equal(t, test.state, all[0].State, "the entry itself heeds it in any case")
		})
	}
}
