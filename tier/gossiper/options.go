package gossiper

import (
	"math/bits"

	"cicadagrade.example/tier"
)

// Limits of what is exchanged, in bytes unless noted otherwise.
const (
	MaxKeyBytes   = 128
	MaxValueBytes = 4096

	maxMessage      = 16 << 10
	messageOverhead = 250      // headers of a request or a reply
	minDigests      = 16       // digests in a request when little is missing
	maxDigests      = 128      // digests in a request when much is missing
	widenThreshold  = 3        // origins in a reply at which the next request lists more digests
	newcomerDigests = 5        // a request with fewer digests comes from a newcomer
	newcomerBudget  = 512      // minimum for a reply to a newcomer
	maxCounter      = 1 << 62  // of incarnations and versions
	maxVarint       = 10       // longest encoded number
	maxRecords      = 16 << 10 // VMs
	maxKeys         = 1024     // of one VM, or of shared entries
)

// fullDigestsDelayPerMember times the number of members is the least time between two
// requests in which a VM that catches up lists all digests.
const fullDigestsDelayPerMember = tier.Millis(10)

// ContactsPerDataCentre is how many VMs of a data centre exchange with other data centres.
const ContactsPerDataCentre = 3

// config holds the values that options set.
type config struct {
	idleInterval     tier.Millis
	fastInterval     tier.Millis
	pauseThreshold   tier.Millis
	suspicionTimeout tier.Millis
	catchUpTime      tier.Millis // after a start or a pause
	forgetAfter      tier.Millis
	linkTimeout      tier.Millis // without a reply from a data centre
	exchangeTimeout  tier.Millis // until an exchange without an outcome is dropped
	bytesPerSecond   int
	burstBytes       int
	maxRemoteMembers int
	seed             uint64
}

// Option sets one field of a Gossiper.
type Option func(*config)

// WithSeed sets the seed of the random choice of peers.
func WithSeed(seed uint64) Option { return func(c *config) { c.seed = seed } }

// WithIntervals sets the time between rounds when there are no updates to spread, and
// while there are.
func WithIntervals(idle, fast tier.Millis) Option {
	return func(c *config) { c.idleInterval, c.fastInterval = idle, fast }
}

// WithSendRate sets the average number of bytes sent a second, and how many may be
// sent at once above that.
func WithSendRate(bytesPerSecond, burst int) Option {
	return func(c *config) { c.bytesPerSecond, c.burstBytes = bytesPerSecond, burst }
}

// WithSuspicionTimeout sets the least time between the first failed exchange with a VM
// and declaring it dead. The actual time grows with the logarithm of the number of
// members.
func WithSuspicionTimeout(m tier.Millis) Option { return func(c *config) { c.suspicionTimeout = m } }

// WithPauseThreshold sets the gap between ticks above which a VM treats its state as
// stale.
func WithPauseThreshold(m tier.Millis) Option { return func(c *config) { c.pauseThreshold = m } }

// WithForgetAfter sets how long a dead VM is remembered.
func WithForgetAfter(m tier.Millis) Option { return func(c *config) { c.forgetAfter = m } }

// WithMaxRemoteMembers sets how many VMs of each other data centre are kept.
func WithMaxRemoteMembers(n int) Option { return func(c *config) { c.maxRemoteMembers = n } }

// Defaults sets every field.
func (c *config) Defaults() {
	c.idleInterval = tier.Second
	c.fastInterval = tier.Second / 4
	c.pauseThreshold = 2 * tier.Second
	c.suspicionTimeout = 5 * tier.Second / 2
	c.catchUpTime = 10 * tier.Second
	c.forgetAfter = 2 * tier.Hour
	c.linkTimeout = 5 * tier.Second
	c.exchangeTimeout = 30 * tier.Second
	c.bytesPerSecond = 2400
	c.burstBytes = 48 << 10
	c.maxRemoteMembers = 8
	c.seed = 1
}

// Validate reports all invalid fields in one *tier.InvalidError.
func (c *config) Validate() error {
	var problems []tier.FieldProblem
	check := func(ok bool, path string, value any, allowed string) {
		if !ok {
			problems = append(problems, tier.NewFieldProblem(path, value, allowed))
		}
	}
	check(c.fastInterval >= 10, "fast-interval-ms", c.fastInterval, "at least 10")
	check(c.idleInterval >= c.fastInterval, "idle-interval-ms", c.idleInterval, "at least the fast interval")
	check(c.pauseThreshold > c.idleInterval, "pause-ms", c.pauseThreshold, "more than the idle interval")
	check(c.suspicionTimeout >= c.pauseThreshold, "suspicion-ms", c.suspicionTimeout, "at least the pause")
	check(c.forgetAfter > c.suspicionTimeout, "forget-ms", c.forgetAfter, "more than the suspicion time")
	check(c.bytesPerSecond >= 4*messageOverhead, "rate", c.bytesPerSecond, "at least 1000 bytes a second")
	check(c.burstBytes >= maxMessage, "burst", c.burstBytes, "at least 16384 bytes")
	check(c.maxRemoteMembers >= ContactsPerDataCentre, "remote-kept", c.maxRemoteMembers, "at least 3")
	return tier.NewInvalidError("gossiper", problems)
}

// suspicionTimeoutAmong returns how long a VM has to refute a suspicion among n
// members.
func (c *config) suspicionTimeoutAmong(n int) tier.Millis {
	return c.suspicionTimeout + tier.Millis(bits.Len(uint(n)))*tier.Second/2
}
