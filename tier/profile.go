package tier

import (
	"regexp"

	"github.com/pkg/errors"
)

// Bounds of a profile's fields.
const (
	DefaultDeadline    = 1 * Second
	DefaultMaxDeadline = 10 * Second
	MaxDeadlineAllowed = 10 * Minute
	DefaultImposedWait = 100 * Millis(1)
	MaxImposedWait     = 1 * Minute
	DefaultQueueLimit  = 256
	MaxQueueLimit      = 65536
)

var nameFormat = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

const nameAllowed = "1 to 63 characters of a-z, 0-9 and -, starting with a letter or digit"

// ValidName reports whether s is a kebab-case name of at most 63 characters.
func ValidName(s string) bool { return nameFormat.MatchString(s) }

// Profile states what a kind of search is owed.
type Profile struct {
	name        string
	rank        Rank
	minCoverage float64
	deadline    Millis
	maxDeadline Millis
	imposedWait Millis
	queueLimit  int
	hedge       bool
}

// ProfileOption sets one field of a profile.
type ProfileOption func(*Profile)

// WithRank sets the urgency of the profile's requests.
func WithRank(r Rank) ProfileOption { return func(p *Profile) { p.rank = r } }

// WithMinCoverage sets the least fraction of shards, above 0 and at most 1,
// that an answer may cover; below it the request fails.
func WithMinCoverage(f float64) ProfileOption { return func(p *Profile) { p.minCoverage = f } }

// WithDeadline sets the deadline of requests that name none.
func WithDeadline(m Millis) ProfileOption { return func(p *Profile) { p.deadline = m } }

// WithMaxDeadline sets the longest deadline that a request may name.
func WithMaxDeadline(m Millis) ProfileOption { return func(p *Profile) { p.maxDeadline = m } }

// WithImposedWait sets the longest that requests of this profile may hold
// back waiting work of other profiles at an owner.
func WithImposedWait(m Millis) ProfileOption { return func(p *Profile) { p.imposedWait = m } }

// WithQueueLimit sets how many of this profile's queries an owner queues.
func WithQueueLimit(n int) ProfileOption { return func(p *Profile) { p.queueLimit = n } }

// WithHedge allows or forbids hedged leaf calls.
func WithHedge(on bool) ProfileOption { return func(p *Profile) { p.hedge = on } }

// NewProfile returns a checked profile, with defaults where no option speaks.
func NewProfile(name string, opts ...ProfileOption) (*Profile, error) {
	p := &Profile{name: name}
	p.SetDefaults()
	for _, o := range opts {
		o(p)
	}
	if err := p.Validate(); err != nil {
		return nil, errors.Wrap(err, "NewProfile")
	}
	return p, nil
}

// SetDefaults sets every field but the name to its default.
func (p *Profile) SetDefaults() {
	p.rank = Daily
	p.minCoverage = 1
	p.deadline = DefaultDeadline
	p.maxDeadline = DefaultMaxDeadline
	p.imposedWait = DefaultImposedWait
	p.queueLimit = DefaultQueueLimit
	p.hedge = true
}

// Validate reports every bad field in an *InvalidError.
func (p *Profile) Validate() error {
	var l problemList
	l.check(ValidName(p.name), "name", p.name, nameAllowed)
	l.check(p.rank.Valid(), "rank", p.rank, "urgent, daily or reports")
	l.check(p.minCoverage > 0 && p.minCoverage <= 1, "min-coverage", p.minCoverage, "above 0 and at most 1")
	l.check(p.deadline >= 1 && p.deadline <= MaxDeadlineAllowed, "deadline-ms", p.deadline, "1 to 600000")
	l.check(p.maxDeadline >= 1 && p.maxDeadline <= MaxDeadlineAllowed, "max-deadline-ms", p.maxDeadline, "1 to 600000")
	l.check(p.deadline <= p.maxDeadline, "deadline-ms", p.deadline, "at most max-deadline-ms")
	l.check(p.imposedWait >= 0 && p.imposedWait <= MaxImposedWait, "imposed-wait-ms", p.imposedWait, "0 to 60000")
	l.check(p.queueLimit >= 1 && p.queueLimit <= MaxQueueLimit, "queue-limit", p.queueLimit, "1 to 65536")
	return NewInvalidError("profile "+p.name, l)
}

// Name is the name that callers give.
func (p *Profile) Name() string { return p.name }

// Rank is the urgency of the profile's requests.
func (p *Profile) Rank() Rank { return p.rank }

// MinCoverage is the least fraction of shards that an answer may cover.
func (p *Profile) MinCoverage() float64 { return p.minCoverage }

// Deadline is the deadline of requests that name none.
func (p *Profile) Deadline() Millis { return p.deadline }

// MaxDeadline is the longest deadline that a request may name.
func (p *Profile) MaxDeadline() Millis { return p.maxDeadline }

// ImposedWait is the longest that this profile may hold back other work.
func (p *Profile) ImposedWait() Millis { return p.imposedWait }

// QueueLimit is how many of this profile's queries an owner queues.
func (p *Profile) QueueLimit() int { return p.queueLimit }

// Hedge reports whether leaf calls may be hedged.
func (p *Profile) Hedge() bool { return p.hedge }
