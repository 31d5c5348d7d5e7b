package gossiper

import (
	"math/bits"

	"cicadagrade.example/tier"
)

// Sizes and bounds of what is exchanged, in bytes unless named otherwise.
const (
	MaxKey   = 128
	MaxValue = 4096

	maxMessage      = 16 << 10
	messageOverhead = 250 // headers of a request or a reply
	digestWindow    = 16  // digests in a request when little is missing
	maxWindow       = 128 // digests in a request when much is missing
	manyPulled      = 3   // writers in a reply from which much is missing
	fewDigests      = 5   // fewer in a request come from a newcomer
	newcomerRoom    = 512 // for entries in a reply to a newcomer, at least
	maxNumber       = 1 << 62
	maxVarint       = 10 // of an encoded number
	maxRecords      = 16 << 10
	maxKeys         = 1024
)

// wholeWait is the time, for each member, between requests of a VM catching up
// that list the whole table.
const wholeWait = tier.Millis(10)

// Contacts is how many VMs of a data centre exchange with other data centres.
const Contacts = 3

// config is what options set.
type config struct {
	idle        tier.Millis
	fast        tier.Millis
	pause       tier.Millis
	suspicion   tier.Millis
	catchUp     tier.Millis
	forget      tier.Millis
	linkTimeout tier.Millis
	flightLimit tier.Millis
	rate        int
	burst       int
	remoteKept  int
	seed        uint64
}

// Option sets one field of a Gossiper.
type Option func(*config)

// WithSeed sets the seed of the choice of peers.
func WithSeed(seed uint64) Option { return func(c *config) { c.seed = seed } }

// WithIntervals sets the time between rounds: when there is no news, and
// while news spreads.
func WithIntervals(idle, fast tier.Millis) Option {
	return func(c *config) { c.idle, c.fast = idle, fast }
}

// WithRate sets the bytes a second that are sent at most, on average, and how
// many may be sent at once above that.
func WithRate(bytesPerSecond, burst int) Option {
	return func(c *config) { c.rate, c.burst = bytesPerSecond, burst }
}

// WithSuspicion sets the shortest time between the first failed exchange with
// a VM and its death. It grows with the logarithm of the members.
func WithSuspicion(m tier.Millis) Option { return func(c *config) { c.suspicion = m } }

// WithPause sets the gap between ticks after which a VM no longer trusts what
// it holds.
func WithPause(m tier.Millis) Option { return func(c *config) { c.pause = m } }

// WithForget sets how long a dead VM is remembered.
func WithForget(m tier.Millis) Option { return func(c *config) { c.forget = m } }

// WithRemoteKept sets how many VMs of each other data centre are kept.
func WithRemoteKept(n int) Option { return func(c *config) { c.remoteKept = n } }

// Defaults sets every field.
func (c *config) Defaults() {
	c.idle = tier.Second
	c.fast = tier.Second / 4
	c.pause = 2 * tier.Second
	c.suspicion = 5 * tier.Second / 2
	c.catchUp = 10 * tier.Second
	c.forget = 2 * tier.Hour
	c.linkTimeout = 5 * tier.Second
	c.flightLimit = 30 * tier.Second
	c.rate = 2400
	c.burst = 48 << 10
	c.remoteKept = 8
	c.seed = 1
}

// Validate reports every bad field in a *tier.InvalidError.
func (c *config) Validate() error {
	var l []tier.FieldProblem
	check := func(ok bool, path string, value any, allowed string) {
		if !ok {
			l = append(l, tier.NewFieldProblem(path, value, allowed))
		}
	}
	check(c.fast >= 10, "fast-interval-ms", c.fast, "at least 10")
	check(c.idle >= c.fast, "idle-interval-ms", c.idle, "at least the fast interval")
	check(c.pause > c.idle, "pause-ms", c.pause, "more than the idle interval")
	check(c.suspicion >= c.pause, "suspicion-ms", c.suspicion, "at least the pause")
	check(c.forget > c.suspicion, "forget-ms", c.forget, "more than the suspicion time")
	check(c.rate >= 4*messageOverhead, "rate", c.rate, "at least 1000 bytes a second")
	check(c.burst >= maxMessage, "burst", c.burst, "at least 16384 bytes")
	check(c.remoteKept >= Contacts, "remote-kept", c.remoteKept, "at least 3")
	return tier.NewInvalidError("gossiper", l)
}

// suspicionTime is how long a VM has to refute a suspicion among n members.
func (c *config) suspicionTime(n int) tier.Millis {
	return c.suspicion + tier.Millis(bits.Len(uint(n)))*tier.Second/2
}
