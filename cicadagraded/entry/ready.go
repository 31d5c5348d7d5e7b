package entry

import (
	"net/http"

	"cicadagrade.example/platform"
)

// Readiness returns the handler of the balancer's readiness check: 200 if the VM is
// ready, 503 otherwise.
func (e *Entry) Readiness() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc(platform.ReadinessCall, func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return m
}

// Cut logs that the grace period of a shutdown ended with requests still in
// flight.
func (e *Entry) Cut(err error) { e.log.Fault("requests-cut", "error", err) }
