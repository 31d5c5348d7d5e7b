// Package simulator simulates load to measure the scheduling policy: it drives dispatchers
// against modelled backend servers in simulated time and reports latency and useful work by
// rank. It is deterministic: equal scenarios give equal figures.
package simulator

import (
	"fmt"
	"math"

	"cicadagrade.example/tier"
)

// SharingMode is how the entry VMs of a data centre share its backend servers.
type SharingMode int

// The sharing modes.
const (
	Alone  SharingMode = iota // each VM schedules by itself and without ranks, up to its share of the connections
	Static                    // each VM schedules by itself, with a fixed share of the slots and at least one
	Owner                     // one VM schedules all slots, and fronts apply its admission thresholds
)

// String returns the mode's name, as used in tables.
func (m SharingMode) String() string { return [...]string{"alone", "static", "owner"}[m] }

// The modelled data centre.
const (
	entryVMs              = 7
	fixedServiceTime      = 8.0 // in milliseconds; part of every leaf call's service time
	meanRandomServiceTime = 4.0 // in milliseconds; the rest is exponentially distributed
)

// Shape is the size of a shard set and of its servers. Each shard has two replicas.
type Shape struct {
	shards      int
	servers     int
	slots       int
	connections int
}

// Small is sized like the set portao: twenty shards, each on two servers of its own.
func Small() Shape { return Shape{shards: 20, servers: 40, slots: 2, connections: 25} }

// Large is sized like the set contas: fourteen shards on seven servers with more slots.
func Large() Shape { return Shape{shards: 14, servers: 7, slots: 4, connections: 100} }

// totalSlots is the number of slots of all servers.
func (s Shape) totalSlots() int { return s.servers * s.slots }

// replicasOf returns the servers of a shard: two of its own if there are enough, and otherwise
// two adjacent ones that it shares with other shards.
func (s Shape) replicasOf(i int) []string {
	first := i % s.servers
	if s.servers == 2*s.shards {
		first = 2 * i
	}
	return []string{serverName(first), serverName((first + 1) % s.servers)}
}

// serviceTimeFactors are the factors on the service time of leaf calls, by rank.
var serviceTimeFactors = [len(tier.Ranks)]float64{1, 1, 2}

// deadlines are the deadlines of queries, by rank, from their arrival on.
var deadlines = [len(tier.Ranks)]tier.Millis{300, 1 * tier.Second, 5 * tier.Second}

// Scenario describes one run of the simulation.
type Scenario struct {
	name          string
	seed          uint64
	sharing       SharingMode
	shape         Shape
	duration      tier.Millis
	loads         [len(tier.Ranks)]float64 // as fractions of all slot time
	straggler     float64                  // factor on one server's service times
	hedge         bool
	singleEntryVM bool        // all queries arrive at one VM
	reportsShare  float64     // largest fraction of a server's slots
	callerTimeout tier.Millis // after which callers leave, or 0 for never
	maxRetries    int         // of a refused query
	impatient     bool        // retries come after 1 ms instead of the retry-after time
	burstDuration tier.Millis // duration, from the start, of a tenfold rate of daily queries
	sheddingSlots int         // slots of each server for which it sheds calls
	sheddingFrom  tier.Millis
	sheddingTo    tier.Millis
}

// Option sets one parameter of a scenario.
type Option func(*Scenario)

// WithSeed sets the seed of arrivals and service times.
func WithSeed(seed uint64) Option { return func(s *Scenario) { s.seed = seed } }

// WithSharingMode sets how the entry VMs share the servers.
func WithSharingMode(m SharingMode) Option { return func(s *Scenario) { s.sharing = m } }

// WithShape sets the size of the shard set.
func WithShape(h Shape) Option { return func(s *Scenario) { s.shape = h } }

// WithDuration sets for how long queries arrive.
func WithDuration(m tier.Millis) Option { return func(s *Scenario) { s.duration = m } }

// WithLoad sets the work that queries of a rank bring, as a fraction of all slot time.
func WithLoad(r tier.Rank, fraction float64) Option {
	return func(s *Scenario) { s.loads[r] = fraction }
}

// WithStraggler multiplies the service times of one server by a factor.
func WithStraggler(factor float64) Option { return func(s *Scenario) { s.straggler = factor } }

// WithHedge allows or forbids hedged calls.
func WithHedge(on bool) Option { return func(s *Scenario) { s.hedge = on } }

// WithSingleEntryVM makes all queries arrive at one VM.
func WithSingleEntryVM() Option { return func(s *Scenario) { s.singleEntryVM = true } }

// WithReportsShare sets the largest fraction of a server's slots that reports may occupy at
// once.
func WithReportsShare(f float64) Option { return func(s *Scenario) { s.reportsShare = f } }

// WithCallerTimeout makes every caller leave that has no answer after a time.
func WithCallerTimeout(m tier.Millis) Option { return func(s *Scenario) { s.callerTimeout = m } }

// WithRetries makes callers retry a refused query up to n times, after the retry-after time
// that they were given, or after 1 ms if they are impatient.
func WithRetries(n int, impatient bool) Option {
	return func(s *Scenario) { s.maxRetries, s.impatient = n, impatient }
}

// WithBurst makes daily queries arrive at ten times their rate for a time from the start on.
func WithBurst(m tier.Millis) Option { return func(s *Scenario) { s.burstDuration = m } }

// WithShedding makes every server shed calls for a number of its slots between two points in
// time.
func WithShedding(slots int, from, to tier.Millis) Option {
	return func(s *Scenario) { s.sheddingSlots, s.sheddingFrom, s.sheddingTo = slots, from, to }
}

// New returns a scenario, with defaults for the options not given.
func New(name string, opts ...Option) *Scenario {
	s := &Scenario{name: name}
	s.SetDefaults()
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetDefaults sets every field but the name to its default: a small set with an owner, and
// work for six tenths of all slot time.
func (s *Scenario) SetDefaults() {
	s.seed = 1
	s.sharing = Owner
	s.shape = Small()
	s.duration = 20 * tier.Second
	s.loads = [...]float64{0.2, 0.3, 0.1}
	s.straggler = 1
	s.hedge = true
	s.reportsShare = tier.DefaultReportsShare
}

// Validate returns a *tier.InvalidError that lists every invalid field, or nil.
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

// Name is the scenario's name, as used in tables.
func (s *Scenario) Name() string { return s.name }

// meanInterarrival is the mean time between two queries of a rank, in milliseconds.
func (s *Scenario) meanInterarrival(r tier.Rank) float64 {
	work := float64(s.shape.shards) * serviceTimeFactors[r] * (fixedServiceTime + meanRandomServiceTime)
	return work / (s.loads[r] * float64(s.shape.totalSlots()))
}

// profile returns the profile of a rank's queries. In the mode Alone, which has no ranks, all
// queries have the same one.
func (s *Scenario) profile(r tier.Rank) (*tier.Profile, error) {
	if s.sharing == Alone {
		return tier.NewProfile("all", tier.WithRank(tier.Daily), tier.WithHedge(s.hedge), tier.WithQueueLimit(tier.MaxQueueLimit))
	}
	return tier.NewProfile(r.String(), tier.WithRank(r), tier.WithHedge(s.hedge))
}

// slotsPerDispatcher is how many calls each dispatcher may have at a server at once.
func (s *Scenario) slotsPerDispatcher() int {
	switch s.sharing {
	case Alone:
		return s.shape.connections / entryVMs
	case Static:
		return max(1, s.shape.slots/entryVMs)
	default:
		return s.shape.slots
	}
}

func (s *Scenario) shardSet() (*tier.ShardSet, error) {
	var servers []tier.Backend
	for i := range s.shape.servers {
		servers = append(servers, tier.NewBackend(serverName(i), "127.0.0.1:1", "here", tier.WithSlots(s.slotsPerDispatcher())))
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
	return tier.NewShard(fmt.Sprintf("s%d", i), uint64(i)*step, to, s.replicasOf(i)...)
}
