package soaker

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

// confirmVersion adds a version that is written and confirmed at a time.
func (h *history) confirmVersion(number int64, at tier.Millis) {
	_, routes, err := configuration(number, "a")
	if err != nil {
		panic(err)
	}
	h.versions = append(h.versions, version{number: number, writtenAt: after(at), confirmedAt: after(at), routes: routes, keys: keysOfVersion(number)})
}

// addMarker adds a request on the route of a version, and its run if it is served.
func (h *history) addMarker(number int64, vm string, status int, at tier.Millis) {
	q := &request{
		attempt: fmt.Sprintf("%s-%s-%d", vm, markerRoute(number), at), method: http.MethodGet, route: markerRoute(number), vm: vm,
		sentAt: after(at), endedAt: after(at + 20), status: status, header: http.Header{},
	}
	h.addRequest(q)
	if q.served() {
		h.addRun(responder.Request{AttemptID: q.attempt, Service: coldService, ReceivedAt: after(at + 10)})
	}
}

// TestVersionChecks guards against checks that miss a VM which is late with a configuration, or uses an
// older one again, or that take what the rules allow for a breach.
func TestVersionChecks(t *testing.T) {
	const late, again = "configuration", "older-again"
	for name, c := range map[string]struct {
		change func(h *history)
		breaks []string
	}{
		"no route after the bound":                 {func(h *history) { h.addMarker(2, "vm-0", 404, 14_100) }, []string{late}},
		"no route before the bound":                {func(h *history) { h.addMarker(2, "vm-0", 404, 13_900) }, nil},
		"no route, as a newer version has begun":   {func(h *history) { h.confirmVersion(3, 14_110); h.addMarker(2, "vm-0", 404, 14_100) }, nil},
		"dropped route after the bound":            {func(h *history) { h.addMarker(1, "vm-0", 200, 14_100) }, []string{late}},
		"dropped route before the bound":           {func(h *history) { h.addMarker(1, "vm-0", 200, 13_900) }, nil},
		"dropped route is refused":                 {func(h *history) { h.addMarker(1, "vm-0", 404, 14_100) }, nil},
		"refused for now after the bound":          {func(h *history) { h.addMarker(2, "vm-0", 503, 14_100) }, nil},
		"dropped route on a VM that was disturbed": {func(h *history) { h.disturb("vm-0", 12_000); h.addMarker(1, "vm-0", 200, 14_100) }, nil},
		"dropped route again":                      {func(h *history) { h.addMarker(2, "vm-0", 200, 11_000); h.addMarker(1, "vm-0", 200, 11_300) }, []string{again}},
		"no route again":                           {func(h *history) { h.addMarker(2, "vm-0", 200, 11_000); h.addMarker(2, "vm-0", 404, 11_300) }, []string{again}},
		"dropped route again on a VM that was frozen": {func(h *history) {
			h.disturb("vm-0", 11_100)
			h.addMarker(2, "vm-0", 200, 11_000)
			h.addMarker(1, "vm-0", 200, 11_300)
		}, []string{again}},
		"dropped route at once after the effect": {func(h *history) { h.addMarker(2, "vm-0", 200, 11_000); h.addMarker(1, "vm-0", 200, 11_200) }, nil},
		"dropped route on another VM":            {func(h *history) { h.addMarker(2, "vm-0", 200, 11_000); h.addMarker(1, "vm-1", 200, 11_300) }, nil},
		"dropped route after a new start": {func(h *history) {
			h.addMarker(2, "vm-0", 200, 11_000)
			h.starts["vm-0"] = []time.Time{after(0), after(11_100)}
			h.addMarker(1, "vm-0", 200, 11_300)
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			h.confirmVersion(1, 0)
			h.confirmVersion(2, 10_000)
			c.change(h)
			for check, verify := range map[string]func(*history) []string{late: configurationPropagation, again: regressions} {
				found, expected := verify(h), 0
				for _, b := range c.breaks {
					if b == check {
						expected++
					}
				}
				if len(found) != expected {
					t.Errorf("%s finds %q, expected %d", check, found, expected)
				}
			}
		})
	}
}

// disturb records a short disturbance of a VM.
func (h *history) disturb(vm string, at tier.Millis) {
	h.disturbances = append(h.disturbances, disturbance{vm: vm, from: after(at), to: after(at + 10)})
}
