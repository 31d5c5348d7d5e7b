package tier

import (
	"fmt"
	"math"
	"net/netip"
	"sort"

	"github.com/pkg/errors"
)

// Bounds and defaults of a shard set's fields.
const (
	DefaultHedgeQuantile = 0.95
	DefaultHedgeBudget   = 0.05
	MaxHedgeBudget       = 0.25
	DefaultDailyFloor    = 0.10
	DefaultReportsFloor  = 0.10
	DefaultReportsShare  = 0.50
	DefaultColdRamp      = 10 * Second
	MaxColdRamp          = 10 * Minute
	DefaultOwnerCount    = 1
	MaxOwnerCount        = 64
	MaxShards            = 4096
	MaxServers           = 4096
)

// ShardSet is a shard map with the servers that hold it and the settings of
// its owners.
type ShardSet struct {
	name          string
	epoch         Epoch
	servers       []Backend
	shards        []Shard
	dailyFloor    float64
	reportsFloor  float64
	reportsShare  float64
	hedgeQuantile float64
	hedgeBudget   float64
	coldRamp      Millis
	owners        int
	byName        map[string]int
}

// ShardSetOption sets one field of a shard set.
type ShardSetOption func(*ShardSet)

// WithEpoch sets the shard map's epoch, at least 1.
func WithEpoch(e Epoch) ShardSetOption { return func(s *ShardSet) { s.epoch = e } }

// WithServers sets the backend servers.
func WithServers(b ...Backend) ShardSetOption { return func(s *ShardSet) { s.servers = b } }

// WithShards sets the shards, which divide all key hashes among them.
func WithShards(h ...Shard) ShardSetOption { return func(s *ShardSet) { s.shards = h } }

// WithFloors sets the fractions of service that the lower ranks keep.
func WithFloors(daily, reports float64) ShardSetOption {
	return func(s *ShardSet) { s.dailyFloor, s.reportsFloor = daily, reports }
}

// WithReportsShare sets the largest fraction of a server's slots that
// reports hold at once.
func WithReportsShare(f float64) ShardSetOption { return func(s *ShardSet) { s.reportsShare = f } }

// WithHedging sets the latency quantile after which a leaf call is hedged,
// and the extra calls allowed, as a fraction of first attempts.
func WithHedging(quantile, budget float64) ShardSetOption {
	return func(s *ShardSet) { s.hedgeQuantile, s.hedgeBudget = quantile, budget }
}

// WithColdRamp sets how long a cold server takes to reach its full share.
func WithColdRamp(m Millis) ShardSetOption { return func(s *ShardSet) { s.coldRamp = m } }

// WithOwnerCount sets how many VMs of a data centre split the set's slots.
func WithOwnerCount(n int) ShardSetOption { return func(s *ShardSet) { s.owners = n } }

// NewShardSet returns a checked set, with defaults where no option speaks.
func NewShardSet(name string, opts ...ShardSetOption) (*ShardSet, error) {
	s := &ShardSet{name: name}
	s.SetDefaults()
	for _, o := range opts {
		o(s)
	}
	if err := s.Validate(); err != nil {
		return nil, errors.Wrap(err, "NewShardSet")
	}
	s.byName = make(map[string]int, len(s.servers))
	for i, b := range s.servers {
		s.byName[b.name] = i
	}
	return s, nil
}

// SetDefaults sets every field but name, servers and shards.
func (s *ShardSet) SetDefaults() {
	s.epoch = 1
	s.dailyFloor = DefaultDailyFloor
	s.reportsFloor = DefaultReportsFloor
	s.reportsShare = DefaultReportsShare
	s.hedgeQuantile = DefaultHedgeQuantile
	s.hedgeBudget = DefaultHedgeBudget
	s.coldRamp = DefaultColdRamp
	s.owners = DefaultOwnerCount
}

// Validate reports every bad field in an *InvalidError.
func (s *ShardSet) Validate() error {
	var l problemList
	l.check(ValidName(s.name), "name", s.name, nameAllowed)
	l.check(s.epoch >= 1, "epoch", s.epoch, "at least 1")
	l.check(s.dailyFloor >= 0 && s.dailyFloor <= 1, "daily-floor", s.dailyFloor, "0 to 1")
	l.check(s.reportsFloor >= 0 && s.reportsFloor <= 1, "reports-floor", s.reportsFloor, "0 to 1")
	l.check(s.dailyFloor+s.reportsFloor <= 0.9, "daily-floor", s.dailyFloor, "with reports-floor at most 0.9, so that urgent work keeps a tenth")
	l.check(s.reportsShare > 0 && s.reportsShare <= 1, "reports-share", s.reportsShare, "above 0 and at most 1")
	l.check(s.hedgeQuantile >= 0.5 && s.hedgeQuantile < 1, "hedge-quantile", s.hedgeQuantile, "at least 0.5 and below 1")
	l.check(s.hedgeBudget >= 0 && s.hedgeBudget <= MaxHedgeBudget, "hedge-budget", s.hedgeBudget, "0 to 0.25")
	l.check(s.coldRamp >= 0 && s.coldRamp <= MaxColdRamp, "cold-ramp-ms", s.coldRamp, "0 to 600000")
	l.check(s.owners >= 1 && s.owners <= MaxOwnerCount, "owners", s.owners, "1 to 64")
	names := s.validateServers(&l)
	s.validateShards(names, &l)
	return NewInvalidError("set "+s.name, l)
}

func (s *ShardSet) validateServers(l *problemList) map[string]bool {
	l.check(len(s.servers) >= 1 && len(s.servers) <= MaxServers, "servers", len(s.servers), "1 to 4096 servers")
	names := make(map[string]bool, len(s.servers))
	for i := range s.servers {
		path := fmt.Sprintf("servers[%d]", i)
		s.servers[i].validate(path, l)
		l.check(!names[s.servers[i].name], path+".name", s.servers[i].name, "each name once")
		names[s.servers[i].name] = true
	}
	return names
}

// validateShards checks that the shards divide all key hashes, without gap
// or overlap.
func (s *ShardSet) validateShards(servers map[string]bool, l *problemList) {
	l.check(len(s.shards) >= 1 && len(s.shards) <= MaxShards, "shards", len(s.shards), "1 to 4096 shards")
	ids := make(map[string]bool, len(s.shards))
	for i, h := range s.shards {
		path := fmt.Sprintf("shards[%d]", i)
		h.validate(path, servers, l)
		l.check(!ids[h.id], path+".id", h.id, "each id once")
		ids[h.id] = true
	}
	if len(*l) > 0 || len(s.shards) == 0 {
		return
	}
	sorted := append([]Shard(nil), s.shards...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].from < sorted[j].from })
	l.check(sorted[0].from == 0, "shards", sorted[0].from, "the lowest from is 0")
	for i := 1; i < len(sorted); i++ {
		l.check(sorted[i-1].to != math.MaxUint64 && sorted[i].from == sorted[i-1].to+1, "shards", sorted[i].id, "starts right after the shard below it")
	}
	last := sorted[len(sorted)-1]
	l.check(last.to == math.MaxUint64, "shards", last.to, "the highest to is 18446744073709551615")
}

func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0
}

// Name is the name that callers give.
func (s *ShardSet) Name() string { return s.name }

// Epoch numbers the shard map.
func (s *ShardSet) Epoch() Epoch { return s.epoch }

// Servers lists the backend servers.
func (s *ShardSet) Servers() []Backend { return s.servers }

// Server finds a backend server by name.
func (s *ShardSet) Server(name string) (Backend, bool) {
	i, ok := s.byName[name]
	if !ok {
		return Backend{}, false
	}
	return s.servers[i], true
}

// Shards lists the shards.
func (s *ShardSet) Shards() []Shard { return s.shards }

// ShardOf finds the shard that holds a record key.
func (s *ShardSet) ShardOf(key string) Shard {
	h := HashKey(key)
	for _, sh := range s.shards {
		if sh.Holds(h) {
			return sh
		}
	}
	return Shard{}
}

// DataCentres lists the data centres of the servers, sorted by name.
func (s *ShardSet) DataCentres() []string {
	seen := map[string]bool{}
	var out []string
	for _, b := range s.servers {
		if !seen[b.dataCentre] {
			seen[b.dataCentre] = true
			out = append(out, b.dataCentre)
		}
	}
	sort.Strings(out)
	return out
}

// Floor is the fraction of service that a rank keeps whatever the others
// ask; the most urgent rank needs none.
func (s *ShardSet) Floor(r Rank) float64 {
	switch r {
	case Daily:
		return s.dailyFloor
	case Reports:
		return s.reportsFloor
	default:
		return 0
	}
}

// ReportsShare is the largest fraction of a server's slots that reports
// hold at once.
func (s *ShardSet) ReportsShare() float64 { return s.reportsShare }

// HedgeQuantile is the latency quantile after which a leaf call is hedged.
func (s *ShardSet) HedgeQuantile() float64 { return s.hedgeQuantile }

// HedgeBudget is the fraction of first attempts allowed as extra calls.
func (s *ShardSet) HedgeBudget() float64 { return s.hedgeBudget }

// ColdRamp is how long a cold server takes to reach its full share.
func (s *ShardSet) ColdRamp() Millis { return s.coldRamp }

// OwnerCount is how many VMs of a data centre split the set's slots.
func (s *ShardSet) OwnerCount() int { return s.owners }
