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

// newLocator returns a locator with sets of 110 shards in one data centre, together with
// the sets, the members and the report of each set's owner.
func newLocator(b *testing.B, setCount int) (*locator.Locator, []*tier.ShardSet, []tier.VM, owner.Report) {
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
	var sets []*tier.ShardSet
	for i := range setCount {
		s, err := tier.NewShardSet(fmt.Sprintf("set-%d", i), tier.WithShards(shards...),
			tier.WithServers(tier.NewBackend("a", "127.0.0.1:1", "here")))
		if err != nil {
			b.Fatal(err)
		}
		sets = append(sets, s)
	}
	var members []tier.VM
	for i := range benchMembers {
		members = append(members, tier.NewVM(fmt.Sprintf("vm-%d", i), "here", "127.0.0.1:1", tier.WithVMState(tier.VMLive)))
	}
	l := locator.New(tier.NewManualClock(0).Clock())
	l.Update(sets, members, allReachable)
	for _, s := range sets {
		o := l.Owners(s.Name(), "here", 0)[0]
		l.UpdateReport(s.Name(), o.Name(), r, true)
	}
	return l, sets, members, r
}

func allReachable(string) bool { return true }

// BenchmarkUpdateReport measures the cost of recording one owner's report, by the number of
// sets.
func BenchmarkUpdateReport(b *testing.B) {
	for _, setCount := range []int{4, 12, 120, 360} {
		b.Run(fmt.Sprintf("sets=%d", setCount), func(b *testing.B) {
			l, sets, _, r := newLocator(b, setCount)
			vm := l.Owners(sets[0].Name(), "here", 0)[0].Name()
			for b.Loop() {
				l.UpdateReport(sets[0].Name(), vm, r, true)
			}
		})
	}
}

// BenchmarkMemberChange measures the cost of one of 273 members joining or leaving, by
// the number of sets.
func BenchmarkMemberChange(b *testing.B) {
	for _, setCount := range []int{4, 12, 120, 360} {
		b.Run(fmt.Sprintf("sets=%d", setCount), func(b *testing.B) {
			l, sets, members, _ := newLocator(b, setCount)
			n := 0
			for b.Loop() {
				n++
				l.Update(sets, members[:benchMembers-n%2], allReachable)
			}
		})
	}
}
