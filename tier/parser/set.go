package parser

import (
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

const setObject = "set document"

// ParseSet reads a shard set's document. The error is *tier.InvalidError.
func ParseSet(body []byte) (*SetDocument, error) {
	bad := &problems{}
	n, err := readNode(body)
	if err != nil {
		bad.add(rootPath, err.Error(), "one JSON document")
		return nil, errors.Wrap(tier.NewInvalidError(setObject, bad.list), "ParseSet")
	}
	set := readSet(newObject(n, rootPath, bad), bad)
	if err := tier.NewInvalidError(setObject, bad.list); err != nil {
		return nil, errors.Wrap(err, "ParseSet")
	}
	return NewSetDocument(set), nil
}

func readSet(o *object, bad *problems) *tier.ShardSet {
	var d tier.ShardSet
	d.SetDefaults()
	o.require("name", "servers", "shards")
	name := o.text("name")
	opts := []tier.ShardSetOption{
		tier.WithEpoch(tier.Epoch(max(0, o.whole("epoch", int64(d.Epoch()))))),
		tier.WithServers(readServers(o, bad)...),
		tier.WithShards(readShards(o, bad)...),
		tier.WithFloors(o.fraction("daily-floor", d.Floor(tier.Daily)), o.fraction("reports-floor", d.Floor(tier.Reports))),
		tier.WithReportsShare(o.fraction("reports-share", d.ReportsShare())),
		tier.WithHedging(o.fraction("hedge-quantile", d.HedgeQuantile()), o.fraction("hedge-budget", d.HedgeBudget())),
		tier.WithColdRamp(o.millis("cold-ramp-ms", d.ColdRamp())),
		tier.WithOwnerCount(int(o.whole("owners", int64(d.OwnerCount())))),
	}
	o.done()
	s, err := tier.NewShardSet(name, opts...)
	bad.mergeError(o.prefix, err)
	return s
}

func readServers(o *object, bad *problems) []tier.Backend {
	items, paths := o.list("servers")
	servers := make([]tier.Backend, 0, len(items))
	for i, n := range items {
		servers = append(servers, readServer(newObject(n, paths[i], bad)))
	}
	return servers
}

func readServer(o *object) tier.Backend {
	var d tier.Backend
	d.SetDefaults()
	o.require("name", "address", "data-centre")
	b := tier.NewBackend(
		o.text("name"), o.text("address"), o.text("data-centre"),
		tier.WithSlots(int(o.whole("slots", int64(d.Slots())))),
		tier.WithConnections(int(o.whole("connections", int64(d.Connections())))),
		tier.WithConnectionCost(o.millis("connection-cost-ms", d.ConnectionCost())),
	)
	o.done()
	return b
}

func readShards(o *object, bad *problems) []tier.Shard {
	items, paths := o.list("shards")
	shards := make([]tier.Shard, 0, len(items))
	for i, n := range items {
		shards = append(shards, readShard(newObject(n, paths[i], bad)))
	}
	return shards
}

func readShard(o *object) tier.Shard {
	o.require("id", "from", "to", "replicas")
	s := tier.NewShard(o.text("id"), o.hash("from"), o.hash("to"), o.texts("replicas")...)
	o.done()
	return s
}
