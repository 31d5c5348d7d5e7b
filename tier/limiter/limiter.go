// Package limiter limits the concurrent calls to a backend server, up to its slots,
// by additive increase and multiplicative decrease: the limit is halved when the
// server sheds calls and grows slowly while calls succeed.
package limiter

import (
	"math/rand/v2"

	"cicadagrade.example/tier"
)

// Parameters of the adaptation.
const (
	DecreaseFactor   = 0.5
	DecreaseInterval = 100 * tier.Millis(1) // one decrease for each burst of shed calls
	RoundsToGrow     = 8                    // successful rounds, of as many calls as the limit, before it grows by one
	MaxRoundsToGrow  = 512                  // upper bound of the same after repeated bursts of shed calls
	MinPause         = 20 * tier.Millis(1)  // first pause of a server that sheds at a limit of one
	MaxPause         = 1 * tier.Second
)

// Limiter is the limit of one backend server.
type Limiter struct {
	slots        int
	limit        float64 // fractional while it grows
	roundsToGrow float64
	decreasedAt  tier.Millis
	hasShed      bool        // decreasedAt is set
	pause        tier.Millis // length of the last pause, or 0 after a successful call
	pausedUntil  tier.Millis
	random       *rand.Rand
}

// New returns a limiter whose limit is all slots. The random source adds jitter to
// pauses.
func New(slots int, random *rand.Rand) *Limiter {
	return &Limiter{slots: slots, limit: float64(slots), roundsToGrow: RoundsToGrow, random: random}
}

// SetSlots changes the slots. A limit that was all slots follows them.
func (l *Limiter) SetSlots(n int) {
	if l.limit >= float64(l.slots) {
		l.limit = float64(n)
	}
	l.slots = n
	l.limit = min(l.limit, float64(n))
}

// Limit is the number of concurrent calls allowed: 0 during a pause, and at most the
// slots.
func (l *Limiter) Limit(now tier.Millis) int {
	if now < l.pausedUntil {
		return 0
	}
	return int(l.limit)
}

// PausedUntil is the end of the current or last pause.
func (l *Limiter) PausedUntil() tier.Millis { return l.pausedUntil }

// Shed handles a shed call. It halves the limit once for each burst, and doubles the
// rounds before the limit grows again. At a limit of one it pauses the server
// instead, each time for longer, with jitter.
func (l *Limiter) Shed(now tier.Millis) {
	if l.hasShed && now-l.decreasedAt < DecreaseInterval {
		return
	}
	l.hasShed, l.decreasedAt = true, now
	if l.limit < 2 {
		l.lengthenPause(now)
	} else {
		l.roundsToGrow = min(MaxRoundsToGrow, 2*l.roundsToGrow)
	}
	l.limit = max(min(1, float64(l.slots)), l.limit*DecreaseFactor)
}

func (l *Limiter) lengthenPause(now tier.Millis) {
	l.pause = min(MaxPause, max(MinPause, 2*l.pause))
	l.pausedUntil = now + l.pause/2 + tier.Millis(l.random.Int64N(int64(l.pause/2)+1))
}

// Succeeded handles a successful call. It grows the limit by one slot in
// roundsToGrow rounds of calls; at all slots it lowers roundsToGrow again.
func (l *Limiter) Succeeded() {
	l.pause = 0
	if l.limit < 1 {
		return
	}
	if l.limit >= float64(l.slots) {
		l.roundsToGrow = max(RoundsToGrow, l.roundsToGrow*(1-1/(RoundsToGrow*l.limit)))
		return
	}
	l.limit = min(float64(l.slots), l.limit+1/(l.roundsToGrow*l.limit))
}
