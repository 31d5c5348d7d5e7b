package deployer

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

type deploymentDocument struct {
	Name        string               `json:"name"`
	Seed        uint64               `json:"seed"`
	Store       string               `json:"store"`
	Control     string               `json:"control"`
	DataCentres []dataCentreDocument `json:"data-centres"`
	VMs         []vmDocument         `json:"vms"`
	Profiles    string               `json:"profiles"`
	Sets        []string             `json:"sets"`
}

type dataCentreDocument struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

type vmDocument struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	API        string `json:"api"`
	Peer       string `json:"peer"`
}

type profilesDocument struct {
	Profiles []profileDocument `json:"profiles"`
}

type profileDocument struct {
	Name        string      `json:"name"`
	Rank        tier.Rank   `json:"rank"`
	MinCoverage float64     `json:"min-coverage"`
	Deadline    tier.Millis `json:"deadline-ms"`
	MaxDeadline tier.Millis `json:"max-deadline-ms"`
	ImposedWait tier.Millis `json:"imposed-wait-ms"`
	QueueLimit  int         `json:"queue-limit"`
	Hedge       bool        `json:"hedge"`
}

type setDocument struct {
	Name          string           `json:"name"`
	Epoch         tier.Epoch       `json:"epoch"`
	Servers       []serverDocument `json:"servers"`
	Shards        []shardDocument  `json:"shards"`
	DailyFloor    float64          `json:"daily-floor"`
	ReportsFloor  float64          `json:"reports-floor"`
	ReportsShare  float64          `json:"reports-share"`
	HedgeQuantile float64          `json:"hedge-quantile"`
	HedgeBudget   float64          `json:"hedge-budget"`
	ColdRamp      tier.Millis      `json:"cold-ramp-ms"`
	Owners        int              `json:"owners"`
}

type serverDocument struct {
	Name           string      `json:"name"`
	Address        string      `json:"address"`
	DataCentre     string      `json:"data-centre"`
	Slots          int         `json:"slots"`
	Connections    int         `json:"connections"`
	ConnectionCost tier.Millis `json:"connection-cost-ms"`
}

type shardDocument struct {
	ID       string   `json:"id"`
	From     string   `json:"from"`
	To       string   `json:"to"`
	Replicas []string `json:"replicas"`
}

func (p profileDocument) profile() (*tier.Profile, error) {
	return tier.NewProfile(
		p.Name,
		tier.WithRank(p.Rank),
		tier.WithMinCoverage(p.MinCoverage),
		tier.WithDeadline(p.Deadline),
		tier.WithMaxDeadline(p.MaxDeadline),
		tier.WithImposedWait(p.ImposedWait),
		tier.WithQueueLimit(p.QueueLimit),
		tier.WithHedge(p.Hedge),
	)
}

func (s setDocument) set() (*tier.ShardSet, error) {
	shards, err := s.shards()
	if err != nil {
		return nil, err
	}
	return tier.NewShardSet(
		s.Name,
		tier.WithEpoch(s.Epoch),
		tier.WithServers(s.servers()...),
		tier.WithShards(shards...),
		tier.WithFloors(s.DailyFloor, s.ReportsFloor),
		tier.WithReportsShare(s.ReportsShare),
		tier.WithHedging(s.HedgeQuantile, s.HedgeBudget),
		tier.WithColdRamp(s.ColdRamp),
		tier.WithOwners(s.Owners),
	)
}

func (s setDocument) servers() []tier.Backend {
	out := make([]tier.Backend, 0, len(s.Servers))
	for _, b := range s.Servers {
		out = append(out, tier.NewBackend(
			b.Name, b.Address, b.DataCentre,
			tier.WithSlots(b.Slots),
			tier.WithConnections(b.Connections),
			tier.WithConnectionCost(b.ConnectionCost),
		))
	}
	return out
}

func (s setDocument) shards() ([]tier.Shard, error) {
	out := make([]tier.Shard, 0, len(s.Shards))
	for _, h := range s.Shards {
		from, err := strconv.ParseUint(h.From, 16, 64)
		if err != nil {
			return nil, errors.Wrap(err, "setDocument.shards")
		}
		to, err := strconv.ParseUint(h.To, 16, 64)
		if err != nil {
			return nil, errors.Wrap(err, "setDocument.shards")
		}
		out = append(out, tier.NewShard(h.ID, from, to, h.Replicas...))
	}
	return out, nil
}

// hashText is a bound of a shard as documents write it.
func hashText(h uint64) string { return fmt.Sprintf("%016x", h) }
