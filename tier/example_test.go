package tier_test

import (
	"fmt"
	"math"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/dispatcher"
	"cicadagrade.example/tier/gossiper"
	"cicadagrade.example/tier/hedger"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/picker"
	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"
)

// exampleSet returns a set of two shards, each with replicas on both of two backend servers.
func exampleSet() *tier.ShardSet {
	set, err := tier.NewShardSet("portao",
		tier.WithServers(
			tier.NewBackend("leaf-a", "10.0.0.1:9000", "serra-caxias"),
			tier.NewBackend("leaf-b", "10.0.0.2:9000", "serra-caxias")),
		tier.WithShards(
			tier.NewShard("s1", 0, math.MaxUint64/2, "leaf-a", "leaf-b"),
			tier.NewShard("s2", math.MaxUint64/2+1, math.MaxUint64, "leaf-b", "leaf-a")))
	if err != nil {
		panic(err)
	}
	return set
}

// Two members gossip. The program that drives them transports the messages; here that is a
// function call.
func Example_membership() {
	one, err := gossiper.New(tier.NewVM("vm-1", "serra-caxias", "10.0.1.1:7071", tier.WithIncarnation(1)))
	if err != nil {
		panic(err)
	}
	two, err := gossiper.New(tier.NewVM("vm-2", "serra-caxias", "10.0.1.2:7071", tier.WithIncarnation(1)))
	if err != nil {
		panic(err)
	}
	now := tier.Millis(0)
	two.Step(now, gossiper.NewSetState(tier.VMLive))
	one.Step(now, gossiper.NewSeedsChanged([]string{"10.0.1.2:7071"}))
	for len(one.Members()) < 2 {
		now, _ = one.Next()
		for _, a := range one.Step(now, &gossiper.Tick{}) {
			if send, ok := a.(*gossiper.SendRequest); ok {
				deliver(now, one, two, send)
			}
		}
	}
	for _, m := range one.Members() {
		fmt.Println(m.Name(), m.State())
	}
	// Output:
	// vm-1 joining
	// vm-2 live
}

// deliver passes a request to the peer and the reply back to the sender.
func deliver(now tier.Millis, from, to *gossiper.Gossiper, send *gossiper.SendRequest) {
	for _, a := range to.Step(now, gossiper.NewRequestReceived(send.Message())) {
		if reply, ok := a.(*gossiper.SendReply); ok {
			from.Step(now, gossiper.NewReplyReceived(send.Number(), reply.Message()))
		}
	}
}

// Members that know the same member list pick the same owners of a set without communication.
// When a member leaves, only the sets that it owned get a new owner.
func Example_owners() {
	var members []tier.VM
	for i := range 3 {
		name := fmt.Sprintf("vm-%d", i+1)
		members = append(members, tier.NewVM(name, "serra-caxias", "10.0.1.1:7071", tier.WithVMState(tier.VMLive)))
	}
	before := picker.Owners("portao", "serra-caxias", members, 2)
	members = append(members[:0:0], before[1:]...)
	after := picker.Owners("portao", "serra-caxias", members, 1)
	fmt.Println(len(before), before[1].Name() == after[0].Name())
	// Output: 2 true
}

// A dispatcher decides which backend server is called for each shard. The program that drives
// it makes the calls and reports how each one ended.
func Example_dispatcher() {
	gate, err := tier.NewProfile("gate", tier.WithRank(tier.Urgent))
	if err != nil {
		panic(err)
	}
	d := dispatcher.New(exampleSet(), "serra-caxias", dispatcher.WithSeed(1))
	snapshot := tier.NewSnapshot(1, 7)
	for _, server := range []string{"leaf-a", "leaf-b"} {
		d.Step(0, dispatcher.NewBackendChanged(server, tier.BackendLive))
		for _, shard := range []string{"s1", "s2"} {
			d.Step(0, dispatcher.NewHoldingChanged(server, shard, 1, []tier.Version{7}))
		}
	}
	actions := d.Step(10, dispatcher.NewSubmit(1, gate, 500, []string{"s1", "s2"}, dispatcher.WithSnapshot(snapshot)))
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case *dispatcher.Call:
			fmt.Println("call for", a.Shard())
			actions = append(actions, d.Step(20, dispatcher.NewCallEnded(a.Attempt(), &dispatcher.ReplyOK{}))...)
		case *dispatcher.PartDone:
			fmt.Println("covered", len(a.Winners()), "missed", len(a.Misses()))
		}
	}
	// Output:
	// call for s1
	// call for s2
	// covered 2 missed 0
}

// The hedging budget allows a burst and then one extra call per twenty first attempts.
func Example_hedgingBudget() {
	h := hedger.New(0.95, 0.05)
	burst := 0
	for h.Take(tier.Urgent) {
		burst++
	}
	for range 100 {
		h.RecordFirstAttempt()
		h.ObserveLatency(1000, 8)
	}
	delay, measured := h.Delay()
	fmt.Println("burst", burst, "then", h.Available(tier.Urgent))
	fmt.Println("measured", measured, "not below 8 ms:", delay >= 8)
	// Output:
	// burst 10 then true
	// measured true not below 8 ms: true
}

// A replicator adopts the document that it reads from the store, unless it already has a
// newer one; then it raises an alert.
func Example_configuration() {
	author := replicator.NewAuthor("ana", "9f2d6c1b7a3e4f50", "first map", 0)
	first, _ := replicator.NextState(nil, parser.NewSetDocument(exampleSet()), author)
	second, _ := replicator.NextState(first, parser.NewSetDocument(exampleSet()), replicator.NewAuthor("ana", "0a1b2c3d4e5f6071", "again", 0))
	r := replicator.New("vm-1", replicator.WithDataCentre("serra-caxias"))
	list := func(now tier.Millis, s *replicator.State) {
		v := storer.NewValue(s.Ref().Key(), s.Encode(), 1)
		r.Step(now, replicator.NewListed([]storer.Value{v}))
		fmt.Println(r.Documents()[0].Ref(), r.Alerts())
	}
	r.Step(0, replicator.NewMembers([]string{"vm-1"}, nil))
	list(1000, second)
	list(3000, first)
	// Output:
	// cicadagrade/config/sets/portao@1.2 []
	// cicadagrade/config/sets/portao@1.2 [store-behind: store shows cicadagrade/config/sets/portao@1.1, this VM serves cicadagrade/config/sets/portao@1.2; reconcile cicadagrade/config/sets/portao]
}
