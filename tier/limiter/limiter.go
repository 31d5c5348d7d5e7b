// Package limiter adapts how many calls a backend server gets at once, below
// its stated slots, from its replies: the limit is halved when the server
// sheds load and grows by small steps while calls succeed.
package limiter

import (
	"math/rand/v2"

	"cicadagrade.example/tier"
)

// Limits of the adaptation.
const (
	DecreaseFactor   = 0.5
	DecreaseInterval = 100 * tier.Millis(1) // one decrease for each burst of shed replies
	RoundsToGrow     = 8                    // successful rounds of calls before the limit grows by one
	MaxRoundsToGrow  = 512                  // the same after repeated shed replies
	MinPause         = 20 * tier.Millis(1)  // first pause of a server that sheds its only call
	MaxPause         = 1 * tier.Second
)

// Limiter is the adaptive limit of one backend server.
type Limiter struct {
	slots     int
	limit     float64
	rounds    float64
	decreased tier.Millis
	shed      bool
	pause     tier.Millis
	until     tier.Millis
	random    *rand.Rand
}

// New returns a limiter at its full slots. The random source jitters pauses.
func New(slots int, random *rand.Rand) *Limiter {
	return &Limiter{slots: slots, limit: float64(slots), rounds: RoundsToGrow, random: random}
}

// SetSlots sets the slots that the limit never exceeds. A limit that was at
// its top stays there.
func (l *Limiter) SetSlots(n int) {
	if l.limit >= float64(l.slots) {
		l.limit = float64(n)
	}
	l.slots = n
	l.limit = min(l.limit, float64(n))
}

// Limit is how many calls may run at once, from 0 during a pause up to the
// slots.
func (l *Limiter) Limit(now tier.Millis) int {
	if now < l.until {
		return 0
	}
	return int(l.limit)
}

// PausedUntil is the end of the present pause, or a time gone by.
func (l *Limiter) PausedUntil() tier.Millis { return l.until }

// Shed halves the limit, once for each burst. A server that sheds at a limit
// of one is paused for a jittered, growing time. Each burst above that doubles
// the rounds of calls before the limit grows again.
func (l *Limiter) Shed(now tier.Millis) {
	if l.shed && now-l.decreased < DecreaseInterval {
		return
	}
	l.shed, l.decreased = true, now
	if l.limit < 2 {
		l.lengthenPause(now)
	} else {
		l.rounds = min(MaxRoundsToGrow, 2*l.rounds)
	}
	l.limit = max(min(1, float64(l.slots)), l.limit*DecreaseFactor)
}

func (l *Limiter) lengthenPause(now tier.Millis) {
	l.pause = min(MaxPause, max(MinPause, 2*l.pause))
	l.until = now + l.pause/2 + tier.Millis(l.random.Int64N(int64(l.pause/2)+1))
}

// Succeeded grows the limit by one slot in some rounds of calls, and at the
// full slots lets it grow faster next time.
func (l *Limiter) Succeeded() {
	l.pause = 0
	if l.limit < 1 {
		return
	}
	if l.limit >= float64(l.slots) {
		l.rounds = max(RoundsToGrow, l.rounds*(1-1/(RoundsToGrow*l.limit)))
		return
	}
	l.limit = min(float64(l.slots), l.limit+1/(l.rounds*l.limit))
}
