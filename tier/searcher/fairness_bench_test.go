package searcher

import (
	"fmt"
	"testing"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/budgeter"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
)

// BenchmarkLongQueue measures the choice of the next part of a shard while a sweep of each of 84
// organisations waits for each of 270 shards.
func BenchmarkLongQueue(b *testing.B) {
	const shards, organisations = 270, 84
	list := lister.New()
	services := make([]string, shards)
	for k := range services {
		services[k] = fmt.Sprint("s", k)
		for n := range 3 {
			id := fmt.Sprint("f", k, "-", n)
			list.Put(0, lister.NewEntry("servers/"+id, lister.NewLeaf(id, services[k], id+":1", lister.InDataCentre("a"), lister.WithSlots(1)), 1))
		}
	}
	self := partitioner.NewMember(tier.NewVM("self", "a", "self:1", tier.WithVMState(tier.VMLive)), "a", 1)
	scheduler := NewScheduler(list, balancer.New(func(string) balancer.Distance { return balancer.SameDataCentre }), budgeter.New(0.2, 50, 1), partitioner.New(self))
	for k := range organisations + 6 { // the first ones take the slots
		terms := NewTerms("class", 400, 2500, Idempotent(), WithOrganisation(fmt.Sprint("o", k%organisations), float64(1+k)))
		NewSearch(scheduler, terms, services, nil).Start(0)
	}
	if n := scheduler.QueueLength(); n < shards*organisations {
		b.Fatalf("%d parts wait", n)
	}
	b.ReportAllocs()
	for k := 0; b.Loop(); k++ {
		scheduler.first(1, services[k%shards], nil)
	}
}
