// Package simulator measures the policy under load: it drives dispatchers
// against modelled backend servers in simulated time and reports latency and
// useful work by rank. Equal scenarios give equal figures.
package simulator

import (
	"fmt"
	"math"

	"cicadagrade.example/tier"
)

// SharingMode is how the entry VMs of a data centre share its backend servers.
type SharingMode int

// The ways.
const (
	Alone  SharingMode = iota // each VM by itself, without ranks, up to its share of the connections
	Static                    // each VM by itself with a fixed share of the slots, at least one
	Owner                     // one owner counts the slots, and fronts apply its thresholds
)

// String is the way's name in tables.
func (w SharingMode) String() string { return [...]string{"alone", "static", "owner"}[w] }

// The modelled data centre.
const (
	entryVMs   = 7
	fixedTime  = 8.0 // of a leaf call, in milliseconds
	randomTime = 4.0 // mean of the exponential rest
)

// Shape is the size of a shard set. Each shard has two replicas.
type Shape struct {
	shards      int
	servers     int
	slots       int
	connections int
}

// Small is a set such as portao: twenty shards, each on its own two servers.
func Small() Shape { return Shape{shards: 20, servers: 40, slots: 2, connections: 25} }

// Large is a set such as contas: fourteen shards on seven larger servers.
func Large() Shape { return Shape{shards: 14, servers: 7, slots: 4, connections: 100} }

// all is every slot of the set.
func (s Shape) all() int { return s.servers * s.slots }

// replicas are the servers of a shard: its own two, or two neighbours.
func (s Shape) replicas(i int) []string {
	first := i % s.servers
	if s.servers == 2*s.shards {
		first = 2 * i
	}
	return []string{serverName(first), serverName((first + 1) % s.servers)}
}

// leafTimes is the factor on leaf service time by rank.
var leafTimes = [len(tier.Ranks)]float64{1, 1, 2}

// deadlines are those of the queries of a rank.
var deadlines = [len(tier.Ranks)]tier.Millis{300, 1 * tier.Second, 5 * tier.Second}

// Scenario is one run.
type Scenario struct {
	name         string
	seed         uint64
	way          SharingMode
	shape        Shape
	duration     tier.Millis
	loads        [len(tier.Ranks)]float64 // as fractions of all slots
	straggler    float64                  // factor on one server's service times
	hedge        bool
	oneEntry     bool        // all queries come through one VM
	reportsShare float64     // of a server's slots
	patience     tier.Millis // after which callers go away, or 0
	returns      int         // times that a refused query comes again
	impatient    bool        // it comes again after 1 ms rather than the time told
	burst        tier.Millis // how long daily work comes ten times as often
	shedSlots    int         // of each server, for which it sheds calls
	sheddingFrom tier.Millis
	sheddingTo   tier.Millis
}

// Option sets one thing of a scenario.
type Option func(*Scenario)

// WithSeed seeds arrivals and service times.
func WithSeed(seed uint64) Option { return func(s *Scenario) { s.seed = seed } }

// WithSharingMode sets how the VMs share the servers.
func WithSharingMode(w SharingMode) Option { return func(s *Scenario) { s.way = w } }

// WithShape sets the size of the shard set.
func WithShape(h Shape) Option { return func(s *Scenario) { s.shape = h } }

// WithDuration sets how long queries arrive.
func WithDuration(m tier.Millis) Option { return func(s *Scenario) { s.duration = m } }

// WithLoad sets what a rank asks for, as a fraction of all slot time.
func WithLoad(r tier.Rank, fraction float64) Option {
	return func(s *Scenario) { s.loads[r] = fraction }
}

// WithStraggler makes one server slower by a factor.
func WithStraggler(factor float64) Option { return func(s *Scenario) { s.straggler = factor } }

// WithHedge allows or forbids hedged calls.
func WithHedge(on bool) Option { return func(s *Scenario) { s.hedge = on } }

// WithSingleEntryVM sends all queries through one VM.
func WithSingleEntryVM() Option { return func(s *Scenario) { s.oneEntry = true } }

// WithReportsShare sets the slots that reports may hold at once.
func WithReportsShare(f float64) Option { return func(s *Scenario) { s.reportsShare = f } }

// WithCallerTimeout makes every caller go away after a time without an answer.
func WithCallerTimeout(m tier.Millis) Option { return func(s *Scenario) { s.patience = m } }

// WithRetries makes refused queries come again, a number of times, after the
// time they were told, or after 1 ms if they are impatient.
func WithRetries(n int, impatient bool) Option {
	return func(s *Scenario) { s.returns, s.impatient = n, impatient }
}

// WithBurst makes daily work come ten times as often at first.
func WithBurst(span tier.Millis) Option { return func(s *Scenario) { s.burst = span } }

// WithShedding makes every server shed calls for a number of its slots during
// a span of time.
func WithShedding(slots int, from, to tier.Millis) Option {
	return func(s *Scenario) { s.shedSlots, s.sheddingFrom, s.sheddingTo = slots, from, to }
}

// New returns a scenario with defaults where no option speaks.
func New(name string, opts ...Option) *Scenario {
	s := &Scenario{name: name}
	s.SetDefaults()
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetDefaults sets a load of six tenths of all slots, with an owner.
func (s *Scenario) SetDefaults() {
	s.seed = 1
	s.way = Owner
	s.shape = Small()
	s.duration = 20 * tier.Second
	s.loads = [...]float64{0.2, 0.3, 0.1}
	s.straggler = 1
	s.hedge = true
	s.reportsShare = tier.DefaultReportsShare
}

// Validate reports every bad field in a *tier.InvalidError.
func (s *Scenario) Validate() error {
	var problems []tier.FieldProblem
	if s.duration < tier.Second {
		problems = append(problems, tier.NewFieldProblem("duration-ms", s.duration, "at least 1000"))
	}
	for r, f := range s.loads {
		if f < 0 || f > 100 {
			problems = append(problems, tier.NewFieldProblem("load-"+tier.Rank(r).String(), f, "0 to 100"))
		}
	}
	if s.straggler < 1 {
		problems = append(problems, tier.NewFieldProblem("straggler", s.straggler, "at least 1"))
	}
	return tier.NewInvalidError("scenario "+s.name, problems)
}

// Name is the scenario's name in tables.
func (s *Scenario) Name() string { return s.name }

// gap is the mean time between the queries of a rank, in milliseconds.
func (s *Scenario) gap(r tier.Rank) float64 {
	work := float64(s.shape.shards) * leafTimes[r] * (fixedTime + randomTime)
	return work / (s.loads[r] * float64(s.shape.all()))
}

// profile is that of a rank's queries. Without ranks all are alike.
func (s *Scenario) profile(r tier.Rank) (*tier.Profile, error) {
	if s.way == Alone {
		return tier.NewProfile("all", tier.WithRank(tier.Daily), tier.WithHedge(s.hedge), tier.WithQueueLimit(tier.MaxQueueLimit))
	}
	return tier.NewProfile(r.String(), tier.WithRank(r), tier.WithHedge(s.hedge))
}

// slotsOf is how many calls each dispatcher holds on a server at once.
func (s *Scenario) slotsOf() int {
	switch s.way {
	case Alone:
		return s.shape.connections / entryVMs
	case Static:
		return max(1, s.shape.slots/entryVMs)
	default:
		return s.shape.slots
	}
}

func (s *Scenario) set() (*tier.ShardSet, error) {
	var servers []tier.Backend
	for i := range s.shape.servers {
		servers = append(servers, tier.NewBackend(serverName(i), "127.0.0.1:1", "here", tier.WithSlots(s.slotsOf())))
	}
	var shards []tier.Shard
	for i := range s.shape.shards {
		shards = append(shards, s.shape.shard(i))
	}
	return tier.NewShardSet("portao", tier.WithServers(servers...), tier.WithShards(shards...), tier.WithReportsShare(s.reportsShare))
}

func serverName(i int) string { return fmt.Sprintf("v%d", i) }

func (s Shape) shard(i int) tier.Shard {
	step := math.MaxUint64 / uint64(s.shards)
	to := uint64(i+1)*step - 1
	if i == s.shards-1 {
		to = math.MaxUint64
	}
	return tier.NewShard(fmt.Sprintf("s%d", i), uint64(i)*step, to, s.replicas(i)...)
}
