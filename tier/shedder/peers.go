package shedder

import "cicadagrade.example/tier"

// Peers are the levels of other VMs, as they have told them. It is not safe for concurrent use.
type Peers struct{ known map[string]report }

type report struct {
	level float64
	at    tier.Millis
}

// NewPeers returns an empty list.
func NewPeers() *Peers { return &Peers{known: map[string]report{}} }

// Heard records the level that a VM has told. A VM of an earlier build tells none and counts as
// one that takes all requests.
func (p *Peers) Heard(now tier.Millis, name string, level float64) {
	if level >= 1 || level < 0 {
		delete(p.known, name)
		return
	}
	p.known[name] = report{level: max(level, minLevel), at: now}
}

// Level is the level of a VM. It rises from the last report as fast as that of a VM whose
// overload has ended.
func (p *Peers) Level(now tier.Millis, name string) float64 {
	r, ok := p.known[name]
	if !ok {
		return 1
	}
	level := r.level + increase*float64(now-r.at)/float64(window)
	if level >= 1 {
		delete(p.known, name)
		return 1
	}
	return level
}
