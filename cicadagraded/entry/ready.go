package entry

import (
	"net/http"

	"cicadagrade.example/platform"
)

// Readiness answers the balancer's check.
func (e *Entry) Readiness() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc(platform.ReadinessCall, func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return m
}

// Cut says that the stop's time ran out with requests in flight.
func (e *Entry) Cut(err error) { e.log.Fault("requests-cut", "error", err) }
