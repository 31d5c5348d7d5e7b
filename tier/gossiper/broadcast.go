package gossiper

import (
	"math/bits"
	"slices"

	"cicadagrade.example/tier"
)

type entryKey struct{ origin, key string }

// broadcast is an updated entry that is still pushed to peers.
type broadcast struct {
	entryKey
	transmitsLeft int
}

// broadcastQueue holds the updates to push. Each is sent a few times, those sent least
// often first.
type broadcastQueue struct{ items []broadcast }

// enqueue adds an update that is sent n times, or restarts its count.
func (q *broadcastQueue) enqueue(origin, key string, n int) {
	k := entryKey{origin: origin, key: key}
	q.remove(k)
	if n <= 0 {
		return
	}
	q.items = append(q.items, broadcast{entryKey: k, transmitsLeft: n})
}

func (q *broadcastQueue) remove(k entryKey) {
	q.items = slices.DeleteFunc(q.items, func(b broadcast) bool { return b.entryKey == k })
}

// sortByTransmits puts the updates with the most transmissions left first. The order
// is stable.
func (q *broadcastQueue) sortByTransmits() {
	slices.SortStableFunc(q.items, func(a, b broadcast) int { return b.transmitsLeft - a.transmitsLeft })
}

// pulledTransmits is how often an entry obtained by comparing digests is pushed on;
// most peers hold it already.
const pulledTransmits = 2

// lowBudgetTransmits is how often an update is sent while the token bucket is below
// its reserve.
const lowBudgetTransmits = 3

// fastRoundMinTokens is the number of tokens below which rounds run at the idle
// interval only.
const fastRoundMinTokens = 4 * messageOverhead

// maxTokenDebt is how far the token bucket may go below zero, in bytes.
const maxTokenDebt = 2 * messageOverhead

// halvingQueueLength is the queue length at which an update is sent half as often as
// with an empty queue.
const halvingQueueLength = 8

// transmitLimit returns how often an update is sent among n members. The longer the
// queue, the fewer times each update is sent; the comparison of digests spreads the
// rest.
func (q *broadcastQueue) transmitLimit(n int) int {
	fullLimit := bits.Len(uint(n)) + 3
	return max(1, fullLimit*halvingQueueLength/(halvingQueueLength+len(q.items)))
}

// tokenBucket limits the bytes sent to an average rate and a burst. A token is one
// byte.
type tokenBucket struct {
	tokens         float64
	bytesPerSecond float64
	burst          float64
	refilledAt     tier.Millis
}

func (b *tokenBucket) refill(now tier.Millis) {
	b.tokens = min(b.burst, b.tokens+b.bytesPerSecond*float64(now-b.refilledAt)/float64(tier.Second))
	b.refilledAt = now
}

// messageBudget returns the largest size in bytes that the next message may have.
func (b *tokenBucket) messageBudget() int { return min(maxMessage, max(0, int(b.tokens))) }

// spend takes n tokens. The debt is bounded, so that the replies to many requests at
// once do not silence a VM.
func (b *tokenBucket) spend(n int) { b.tokens = max(b.tokens-float64(n), -maxTokenDebt) }

// hasReserve reports whether enough tokens are left to spread updates at full speed.
func (b *tokenBucket) hasReserve() bool { return b.tokens > b.burst/4 }
