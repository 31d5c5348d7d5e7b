package soaker

import (
	"fmt"
	"net/http"
	"testing"

	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

// addCappedCalls adds n requests of the capped organisation, each with a call, 10 ms apart.
func (h *history) addCappedCalls(n int, from tier.Millis) {
	for i := range n {
		r := responder.Request{AttemptID: fmt.Sprint("capped-", i), Organisation: organisationCapped, ReceivedAt: after(from + tier.Millis(10*i))}
		h.addCall(r)
		h.addCall(r) // a retry does not count
	}
}

// addColdCalls makes the leaf of the line request cold and gives it n calls, an interval apart.
func (h *history) addColdCalls(n int, interval tier.Millis) {
	const leaf = "w-orders"
	h.coldPeriods = []coldPeriod{{leaf, after(30_000), after(34_000)}}
	for i := range n {
		h.addCall(responder.Request{Leaf: leaf, ReceivedAt: after(30_000 + interval*tier.Millis(i))})
	}
}

// useKey sends the line request, as one of the split route, with a key and gives it a status.
func (h *history) useKey(key string, status int) {
	h.sent[1].route, h.sent[1].key, h.sent[1].status = routeSplit, key, status
	if status == http.StatusUnauthorized {
		h.calls = h.calls[:0]
	}
}

// addVersion adds a configuration that is confirmed at a time.
func (h *history) addVersion(number int64, at tier.Millis) {
	h.versions = append(h.versions, version{number: number, writtenAt: after(at - 10), confirmedAt: after(at), keys: keysOfVersion(number)})
}

// TestRestrictionChecks checks that each check of regions, organisations, evacuations, cold
// leafs, quotas and keys finds each kind of breach, and nothing else.
func TestRestrictionChecks(t *testing.T) {
	first, second := versionKey(organisationPlain, 1), versionKey(organisationPlain, 2)
	cases := []struct {
		name   string
		change func(h *history)
		verify func(h *history) []string
		bad    bool
	}{
		{"a region that the organisation lacks", func(h *history) {
			h.sent[0].organisation, h.leafZones["w-a0"] = organisationRestricted, "depot-b"
		}, allowedRegions, true},
		{"a region that the organisation has", func(h *history) { h.sent[0].organisation = organisationRestricted }, allowedRegions, false},
		{"a public request without an organisation", func(h *history) {
			h.sent[1].organisation, h.calls[shardCount].Organisation, h.leafZones["w-orders"] = organisationRestricted, "", "depot-b"
		}, allowedRegions, false},
		{"a key sent to a leaf", func(h *history) { h.calls[0].Headers = "X: " + h.sent[0].key }, namedOrganisations, true},
		{"no name of the organisation", func(h *history) { h.calls[0].Organisation = "" }, namedOrganisations, true},
		{"a public request without a name", func(h *history) { h.calls[shardCount].Organisation = "" }, namedOrganisations, false},
		{"a name for a caller without a key", func(h *history) { h.sent[1].organisation = "" }, namedOrganisations, true},
		{"a call within the bound of an evacuation", func(h *history) {
			h.evacuations = []evacuation{{"depot-a", after(15_011), never}}
		}, evacuations, false},
		{"a call after the removal of an evacuation", func(h *history) {
			h.evacuations = []evacuation{{"depot-a", after(10_000), after(20_000)}}
		}, evacuations, false},
		{"a call while a VM was disturbed", func(h *history) {
			h.evacuations = []evacuation{{"depot-a", after(10_000), never}}
			h.disturbances = []disturbance{{vm: "vm-3", from: after(14_000), to: after(15_100)}}
		}, evacuations, false},
		{"152 requests in a window", func(h *history) { h.addCappedCalls(152, 20_010) }, quotas, false},
		{"153 requests in a window", func(h *history) { h.addCappedCalls(153, 20_010) }, quotas, true},
		{"17 calls in a second", func(h *history) { h.addColdCalls(17, 10) }, coldRates, false},
		{"18 calls in a second", func(h *history) { h.addColdCalls(18, 10) }, coldRates, true},
		{"many calls over the cold time", func(h *history) { h.addColdCalls(60, 60) }, coldRates, false},
		{"a withdrawn key that is served", func(h *history) { h.addVersion(2, 14_000); h.useKey(first, 200) }, validKeys, true},
		{"a withdrawn key that reaches a leaf", func(h *history) { h.addVersion(2, 14_000); h.useKey(first, 500) }, validKeys, true},
		{"a withdrawn key within the bound", func(h *history) { h.addVersion(2, 16_000); h.useKey(first, 200) }, validKeys, false},
		{"a withdrawn key on a disturbed VM", func(h *history) {
			h.addVersion(2, 14_000)
			h.useKey(first, 200)
			h.disturbances = []disturbance{{vm: "vm-0", from: after(15_000), to: after(19_000)}}
		}, validKeys, false},
		{"a new key that is refused", func(h *history) { h.addVersion(2, 15_000); h.useKey(second, 401) }, validKeys, true},
		{"a new key that is refused early", func(h *history) { h.addVersion(2, 17_000); h.useKey(second, 401) }, validKeys, false},
		{"a withdrawn key that is refused", func(h *history) { h.addVersion(2, 14_000); h.useKey(first, 401) }, validKeys, false},
		{"a key that is refused on a public route", func(h *history) { h.sent[1].status = 401 }, validKeys, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newSoundHistory(t)
			c.change(h)
			if bad := c.verify(h); len(bad) > 0 != c.bad {
				t.Errorf("found %v", bad)
			}
		})
	}
}
