package entry

import (
	"net/http"

	"cicadagrade.example/platform"
)

// ReadinessHandler answers the balancer's check.
func (e *Entry) ReadinessHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc(platform.ReadinessPattern, func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return m
}

// LogUnfinishedRequests says that the stop's time ran out with requests in flight.
func (e *Entry) LogUnfinishedRequests(err error) { e.log.Warn("requests-cut", "error", err) }
