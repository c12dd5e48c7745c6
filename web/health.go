package web

import "net/http"

// The paths for the platform.
const (
	PathReady   = "/healthz"
	PathMetrics = "/metrics"
)

// Readiness serves 200 while ready returns an empty string, and otherwise 503 with its reason.
func Readiness(ready func() string) http.Handler {
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
