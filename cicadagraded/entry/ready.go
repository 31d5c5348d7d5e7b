package entry

import (
	"net/http"

	"cicadagrade.example/platform"
)

// ReadinessHandler returns the handler of the balancer's readiness check: 200 if the VM is
// ready, 503 otherwise.
func (e *Entry) ReadinessHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc(platform.ReadinessPattern, func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return m
}

// LogUnfinishedRequests logs that the grace period of a shutdown ended with requests still in
// flight, of callers or of other VMs.
func (e *Entry) LogUnfinishedRequests(of string, err error) {
	e.log.Warn("requests-cut", "of", of, "error", err)
}
