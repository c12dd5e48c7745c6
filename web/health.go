package web

import "net/http"

// Paths of the readiness check and of the metrics.
const (
	PathReady   = "/healthz"
	PathMetrics = "/metrics"
)

// ReadinessHandler returns a handler that answers with status 200 if ready returns an empty string, and otherwise with status 503 and
// the reason that ready returns.
func ReadinessHandler(ready func() string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		if reason := ready(); reason != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(reason + "\n"))
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
}
