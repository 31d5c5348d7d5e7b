package balancer

import (
	"cmp"
	"slices"

	"cicadagrade.example/tier"
)

const (
	// slowFactor is the delay, as a multiple of the usual service time, from which a leaf counts
	// as slow. Shorter delays are chance, and if all VMs acted on the same one they would change
	// sides together.
	slowFactor = 6.0
	// minSlowMs is longer than a leaf's pause, after which it replies as usual at once.
	minSlowMs = 350.0
	// slowLifetime is how long a leaf counts as slow without another sign of it.
	slowLifetime = 8 * tier.Second
	// maxDelayReports bounds the delay reports of one message.
	maxDelayReports = 8
	// maxSlowTold is how many leafs of a service may count as slow for a delay report on another one to be
	// taken. If more are late, the service is overloaded, and to avoid leafs would make it worse.
	maxSlowTold = 1
	// reportLifetime is how old an observation may be to be told.
	reportLifetime = 3 * tier.Second
	// maxReportedDelayMs bounds the delay that is taken from another VM.
	maxReportedDelayMs = 10_000.0
)

// DelayReport is what a VM tells others of the delay of a leaf that has become slow or has recovered.
type DelayReport struct {
	leafID  string
	delayMs float64
	slow    bool
	age     tier.Millis
}

// NewDelayReport returns a delay report on a leaf.
func NewDelayReport(leafID string, delayMs float64, slow bool, age tier.Millis) DelayReport {
	return DelayReport{leafID: leafID, delayMs: delayMs, slow: slow, age: age}
}

// LeafID is the leaf's id.
func (t DelayReport) LeafID() string { return t.leafID }

// DelayMs is the latency beyond the usual one, in milliseconds.
func (t DelayReport) DelayMs() float64 { return t.delayMs }

// Slow reports whether the leaf is slow, and not one that has recovered.
func (t DelayReport) Slow() bool { return t.slow }

// Age is the time since a call showed it.
func (t DelayReport) Age() tier.Millis { return t.age }

// sign is the last sign that a leaf is slow, or that it has recovered.
type sign struct {
	slow bool
	at   tier.Millis
}

// isSlow reports whether a leaf has been slow lately.
func (b *Balancer) isSlow(now tier.Millis, id string) bool {
	g, ok := b.signs[id]
	return ok && g.slow && now-g.at < slowLifetime
}

// noteSlow records whether a call has shown a leaf to be slow.
func (b *Balancer) noteSlow(now tier.Millis, id string, slow bool) {
	if slow || b.isSlow(now, id) {
		b.signs[id] = sign{slow: slow, at: now}
	}
}

// DelayReports are what other VMs should know: leafs that have become slow or have recovered, the latest
// first. There are none without WithEvenLoad.
func (b *Balancer) DelayReports(now tier.Millis) []DelayReport {
	if !b.even || len(b.signs) == 0 {
		return nil
	}
	var list []DelayReport
	for id, g := range b.signs {
		s, ok := b.leafs[id]
		switch {
		case !ok || now-g.at >= slowLifetime:
			delete(b.signs, id)
		case now-s.even.delayAt < reportLifetime:
			list = append(list, DelayReport{leafID: id, delayMs: s.even.delayMs, slow: g.slow, age: now - s.even.delayAt})
		}
	}
	slices.SortFunc(list, func(t, u DelayReport) int { return cmp.Or(cmp.Compare(t.age, u.age), cmp.Compare(t.leafID, u.leafID)) })
	return list[:min(len(list), maxDelayReports)]
}

// HeardDelayReports handles the delay reports of another VM: a sign later than this VM's own counts.
func (b *Balancer) HeardDelayReports(now tier.Millis, list []DelayReport) {
	for _, t := range list[:min(len(list), maxDelayReports)] {
		s, ok := b.leafs[t.leafID]
		at := now - t.age
		if !b.even || !ok || t.age < 0 || t.age >= reportLifetime || at <= s.even.delayAt || !(t.delayMs >= 0) {
			continue
		}
		if t.slow && b.slowOthers(now, s) >= maxSlowTold {
			continue
		}
		s.even.delayMs, s.even.delayAt = min(t.delayMs, maxReportedDelayMs), at
		b.signs[t.leafID] = sign{slow: t.slow, at: at}
	}
}

// slowOthers is the number of other leafs of a leaf's service that count as slow.
func (b *Balancer) slowOthers(now tier.Millis, s *leafState) int {
	count := 0
	for id := range b.signs {
		if other, ok := b.leafs[id]; ok && other != s && other.leaf.Service() == s.leaf.Service() && b.isSlow(now, id) {
			count++
		}
	}
	return count
}
