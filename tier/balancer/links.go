package balancer

import (
	"cmp"
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// A VM may lose its own links to all leafs while other VMs still reach them. Calls alone do
// not show whether the leafs or the links have failed, so they only raise a doubt: a survey,
// which opens a connection to a few leafs, settles it.
const (
	// silenceLimit is how long a leaf may take to reply, or lateFactor times as long as it
	// usually does, while no other replies either. singleSilenceGrace is how much longer it
	// may take if it is the only one.
	silenceLimit       = 200 * tier.Millisecond
	lateFactor         = 2.0
	singleSilenceGrace = 800 * tier.Millisecond
	// minDoubtedLeafs is how many leafs must be silent, or have broken calls off within
	// brokenWindow, to doubt the links.
	minDoubtedLeafs = 2
	brokenWindow    = 1 * tier.Second
	// surveyInterval is the least time from a survey that has reached a leaf to the next, and
	// lostSurveyInterval from one that has reached none.
	surveyInterval     = 1 * tier.Second
	lostSurveyInterval = 250 * tier.Millisecond
	// surveyRecent is how many leafs of a survey are those that replied last, and
	// surveyOthers how many are drawn from all others.
	surveyRecent = 2
	surveyOthers = 2
)

// links is what a VM knows of its links to the leafs.
type links struct {
	lost        bool
	lostAt      tier.Millis
	unreachedAt tier.Millis            // calls sent since then, before lostAt, have reached no leaf
	silentSince tier.Millis            // the first call since a leaf last replied, or never
	silent      map[string]tier.Millis // by id of the leafs called since then: when a reply is late
	broken      map[string]tier.Millis // by id: when a call last ended without a reply
	surveyAt    tier.Millis            // the earliest time of the next survey
}

const never = tier.Millis(1) << 60

func newLinks() links {
	return links{silentSince: never, silent: map[string]tier.Millis{}, broken: map[string]tier.Millis{}, surveyAt: longAgo}
}

// called records a call to a leaf that usually replies within a latency, in milliseconds.
func (l *links) called(now tier.Millis, id string, usualLatency float64) {
	l.silentSince = min(l.silentSince, now)
	if _, called := l.silent[id]; !called {
		l.silent[id] = now + max(silenceLimit, tier.Millis(lateFactor*usualLatency))
	}
}

func (l *links) replied(id string) {
	delete(l.broken, id)
	l.silentSince = never
	clear(l.silent)
}

func (l *links) brokenOff(now tier.Millis, id string) { l.broken[id] = now }

// doubted reports whether calls suggest that the links have failed.
func (l *links) doubted(now tier.Millis) bool {
	late := 0
	for _, at := range l.silent {
		if now >= at+singleSilenceGrace {
			return true
		}
		if now >= at {
			late++
		}
	}
	if late >= minDoubtedLeafs {
		return true
	}
	for id, at := range l.broken {
		if now-at >= brokenWindow {
			delete(l.broken, id)
		}
	}
	return len(l.broken) >= minDoubtedLeafs
}

// LinksLost reports whether this VM reaches no leaf by itself.
func (b *Balancer) LinksLost() bool { return b.links.lost }

// MayHaveArrived reports whether a call sent at a time, before the links were lost, may have
// reached its leaf.
func (b *Balancer) MayHaveArrived(sentAt tier.Millis) bool { return sentAt < b.links.unreachedAt }

// Survey returns the leafs to which a connection should be opened now, out of the usable ones, to
// find out whether this VM reaches leafs. It returns none if no survey is due. Surveyed takes
// the result.
func (b *Balancer) Survey(now tier.Millis, usable func() []lister.Leaf) []lister.Leaf {
	if now < b.links.surveyAt || !b.links.lost && !b.links.doubted(now) {
		return nil
	}
	b.links.surveyAt = never
	return b.Sample(usable())
}

// Sample picks some leafs of a list, which it reorders: those that replied last, and others by
// chance.
func (b *Balancer) Sample(list []lister.Leaf) []lister.Leaf {
	repliedAt := func(leaf lister.Leaf) tier.Millis {
		if s, ok := b.leafs[leaf.ID()]; ok && s.startTime == leaf.StartTime() {
			return s.repliedAt
		}
		return longAgo
	}
	slices.SortFunc(list, func(l, m lister.Leaf) int {
		return cmp.Or(cmp.Compare(repliedAt(m), repliedAt(l)), cmp.Compare(l.ID(), m.ID()))
	})
	sample := slices.Clone(list[:min(surveyRecent, len(list))])
	others := list[len(sample):]
	for range min(surveyOthers, len(others)) {
		k := int(b.random()*float64(len(others))) % len(others)
		sample = append(sample, others[k])
		others[k] = others[len(others)-1]
		others = others[:len(others)-1]
	}
	return sample
}

// LinkChange says that a VM has lost its links to the leafs, or has them again.
type LinkChange struct {
	lost  bool
	after tier.Millis
}

// Lost reports whether no leaf can be reached any more.
func (c LinkChange) Lost() bool { return c.lost }

// After is how long no leaf had replied when the links were found lost, or for how long they
// were lost, in milliseconds.
func (c LinkChange) After() tier.Millis { return c.after }

// Surveyed handles the result of a survey: how many of the leafs have accepted a connection. It
// reports whether that changes what is known of the links.
func (b *Balancer) Surveyed(now tier.Millis, accepted, surveyed int) (LinkChange, bool) {
	l := &b.links
	wasLost := l.lost
	lost := accepted == 0 && (wasLost || surveyed > 0)
	change := LinkChange{lost: lost}
	switch {
	case lost && !wasLost:
		l.lostAt, l.unreachedAt = now, l.silentSince
		if l.silentSince < never {
			change.after = now - l.silentSince
		}
	case wasLost && !lost:
		change.after = now - l.lostAt
		b.forgetFailures()
	}
	l.lost = lost
	l.silentSince = never
	clear(l.silent)
	clear(l.broken)
	l.surveyAt = now + surveyInterval
	if lost {
		l.surveyAt = now + lostSurveyInterval
	}
	return change, lost != wasLost
}

// forgetFailures forgets failures and delays of leafs, as the links may have caused them.
func (b *Balancer) forgetFailures() {
	for _, s := range b.leafs {
		s.excessMs, s.failureRate, s.refusalRate = 0, 0, 0
		s.refusedAt, s.resetAt = longAgo, longAgo
		s.even.delayMs = 0
	}
}
