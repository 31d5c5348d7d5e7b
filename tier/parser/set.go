package parser

import (
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

const setObject = "set document"

// ParseSet decodes a shard set's document. The error is a *tier.InvalidError.
func ParseSet(body []byte) (*SetDocument, error) {
	problems := &problemList{}
	n, err := readNode(body)
	if err != nil {
		problems.add(rootPath, err.Error(), "one JSON document")
		return nil, errors.Wrap(tier.NewInvalidError(setObject, problems.list), "ParseSet")
	}
	set := readSet(newObjectReader(n, rootPath, problems), problems)
	if err := tier.NewInvalidError(setObject, problems.list); err != nil {
		return nil, errors.Wrap(err, "ParseSet")
	}
	return NewSetDocument(set), nil
}

func readSet(o *objectReader, problems *problemList) *tier.ShardSet {
	var d tier.ShardSet
	d.SetDefaults()
	o.require("name", "servers", "shards")
	name := o.text("name")
	opts := []tier.ShardSetOption{
		tier.WithEpoch(tier.Epoch(max(0, o.integer("epoch", int64(d.Epoch()))))),
		tier.WithServers(readServers(o, problems)...),
		tier.WithShards(readShards(o, problems)...),
		tier.WithFloors(o.fraction("daily-floor", d.Floor(tier.Daily)), o.fraction("reports-floor", d.Floor(tier.Reports))),
		tier.WithReportsShare(o.fraction("reports-share", d.ReportsShare())),
		tier.WithHedging(o.fraction("hedge-quantile", d.HedgeQuantile()), o.fraction("hedge-budget", d.HedgeBudget())),
		tier.WithColdRamp(o.millis("cold-ramp-ms", d.ColdRamp())),
		tier.WithOwnerCount(int(o.integer("owners", int64(d.OwnerCount())))),
	}
	o.reportUnknownFields()
	s, err := tier.NewShardSet(name, opts...)
	problems.addNestedError(o.prefix, err)
	return s
}

func readServers(o *objectReader, problems *problemList) []tier.Backend {
	items, paths := o.list("servers")
	servers := make([]tier.Backend, 0, len(items))
	for i, n := range items {
		servers = append(servers, readServer(newObjectReader(n, paths[i], problems)))
	}
	return servers
}

func readServer(o *objectReader) tier.Backend {
	var d tier.Backend
	d.SetDefaults()
	o.require("name", "address", "data-centre")
	b := tier.NewBackend(
		o.text("name"), o.text("address"), o.text("data-centre"),
		tier.WithSlots(int(o.integer("slots", int64(d.Slots())))),
		tier.WithConnections(int(o.integer("connections", int64(d.Connections())))),
		tier.WithConnectionCost(o.millis("connection-cost-ms", d.ConnectionCost())),
	)
	o.reportUnknownFields()
	return b
}

func readShards(o *objectReader, problems *problemList) []tier.Shard {
	items, paths := o.list("shards")
	shards := make([]tier.Shard, 0, len(items))
	for i, n := range items {
		shards = append(shards, readShard(newObjectReader(n, paths[i], problems)))
	}
	return shards
}

func readShard(o *objectReader) tier.Shard {
	o.require("id", "from", "to", "replicas")
	s := tier.NewShard(o.text("id"), o.hash("from"), o.hash("to"), o.textList("replicas")...)
	o.reportUnknownFields()
	return s
}
