package gossiper

import (
	"math/bits"
	"slices"

	"cicadagrade.example/tier"
)

type rumourKey struct{ origin, key string }

// rumour is news that is still pushed to peers.
type rumour struct {
	rumourKey
	left int
}

// rumours are pushed a few times each, those sent least first.
type rumours struct{ list []rumour }

// add starts or restarts a rumour that is sent n times.
func (l *rumours) add(origin, key string, n int) {
	k := rumourKey{origin: origin, key: key}
	l.drop(k)
	if n <= 0 {
		return
	}
	l.list = append(l.list, rumour{rumourKey: k, left: n})
}

func (l *rumours) drop(k rumourKey) {
	l.list = slices.DeleteFunc(l.list, func(r rumour) bool { return r.rumourKey == k })
}

// order puts the rumours sent least first, of those the newest.
func (l *rumours) order() {
	slices.SortStableFunc(l.list, func(a, b rumour) int { return b.left - a.left })
}

// pulledCopies is how often news is pushed that peers mostly know.
const pulledCopies = 2

// fewCopies is how often news is sent when the bytes are nearly spent.
const fewCopies = 3

// littleLeft is how many bytes keep a bucket from only idle rounds.
const littleLeft = 4 * messageOverhead

// maxDebt is how far a bucket goes below empty, in bytes.
const maxDebt = 2 * messageOverhead

// fewNews is how much news at once is still pushed at about the full count.
const fewNews = 8

// spread is how often news is sent among n members. The more of it there is,
// the fewer times each is sent, and the exchange of digests does the rest.
func (l *rumours) spread(n int) int {
	full := bits.Len(uint(n)) + 3
	return max(1, full*fewNews/(fewNews+len(l.list)))
}

// bucket bounds the bytes sent by a rate and a burst.
type bucket struct {
	tokens float64
	rate   float64
	burst  float64
	filled tier.Millis
}

func (b *bucket) fill(now tier.Millis) {
	b.tokens = min(b.burst, b.tokens+b.rate*float64(now-b.filled)/float64(tier.Second))
	b.filled = now
}

// room is the size in bytes that a message may have.
func (b *bucket) room() int { return min(maxMessage, max(0, int(b.tokens))) }

// spend takes n bytes. The debt that replies may run up is bounded, so that
// many requests at once do not silence a VM.
func (b *bucket) spend(n int) { b.tokens = max(b.tokens-float64(n), -maxDebt) }

// plenty reports whether there are bytes left for the quick spread of news.
func (b *bucket) plenty() bool { return b.tokens > b.burst/4 }
