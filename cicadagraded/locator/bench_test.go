package locator_test

import (
	"fmt"
	"math"
	"testing"

	"cicadagrade.example/cicadagraded/locator"
	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
)

const benchMembers = 273

// fleet is a locator that holds sets of 110 shards in one data centre.
func fleet(b *testing.B, sets int) (*locator.Locator, []*tier.ShardSet, []tier.VM, owner.Report) {
	var shards []tier.Shard
	width := uint64(math.MaxUint64 / 110)
	for i := range 110 {
		to := uint64(i+1)*width - 1
		if i == 109 {
			to = math.MaxUint64
		}
		shards = append(shards, tier.NewShard(fmt.Sprintf("s%d", i), uint64(i)*width, to, "a"))
	}
	r, err := owner.DecodeReport([]byte(`{"epoch":1,"holdings":[{"versions":[7],"runs":[[0,110]]}]}`))
	if err != nil {
		b.Fatal(err)
	}
	var list []*tier.ShardSet
	for i := range sets {
		s, err := tier.NewShardSet(fmt.Sprintf("set-%d", i), tier.WithShards(shards...),
			tier.WithServers(tier.NewBackend("a", "127.0.0.1:1", "here")))
		if err != nil {
			b.Fatal(err)
		}
		list = append(list, s)
	}
	var members []tier.VM
	for i := range benchMembers {
		members = append(members, tier.NewVM(fmt.Sprintf("vm-%d", i), "here", "127.0.0.1:1", tier.WithVMState(tier.VMLive)))
	}
	l := locator.New(tier.NewManualClock(0).Clock())
	l.Update(list, members, everywhere)
	for _, s := range list {
		o := l.Owners(s.Name(), "here", 0)[0]
		l.UpdateReport(s.Name(), o.Name(), r, true)
	}
	return l, list, members, r
}

func everywhere(string) bool { return true }

// BenchmarkReported is the cost of an owner's report, by the number of sets.
func BenchmarkReported(b *testing.B) {
	for _, sets := range []int{4, 12, 120, 360} {
		b.Run(fmt.Sprintf("sets=%d", sets), func(b *testing.B) {
			l, list, _, r := fleet(b, sets)
			vm := l.Owners(list[0].Name(), "here", 0)[0].Name()
			for b.Loop() {
				l.UpdateReport(list[0].Name(), vm, r, true)
			}
		})
	}
}

// BenchmarkMemberChange is the cost of a member that comes or goes, by the
// number of sets, with 273 members.
func BenchmarkMemberChange(b *testing.B) {
	for _, sets := range []int{4, 12, 120, 360} {
		b.Run(fmt.Sprintf("sets=%d", sets), func(b *testing.B) {
			l, list, members, _ := fleet(b, sets)
			n := 0
			for b.Loop() {
				n++
				l.Update(list, members[:benchMembers-n%2], everywhere)
			}
		})
	}
}
