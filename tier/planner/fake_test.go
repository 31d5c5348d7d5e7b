package planner_test

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/merger"
	"cicadagrade.example/tier/planner"
)

// fakeView is a View with contents set by the test.
type fakeView struct {
	epochs      map[string]tier.Epoch
	versions    map[string][]tier.Version
	unreachable map[string]bool
	set         *tier.ShardSet // the map in force, nil for that of the plan
	earlier     *tier.ShardSet
}

func newFakeView() *fakeView {
	return &fakeView{epochs: map[string]tier.Epoch{}, versions: map[string][]tier.Version{}, unreachable: map[string]bool{}}
}

func (v *fakeView) hold(dataCentre string, s tier.Snapshot, shards []string) {
	for _, shard := range shards {
		k := dataCentre + "/" + shard
		if v.epochs[k] != s.Epoch() {
			v.epochs[k], v.versions[k] = s.Epoch(), nil
		}
		v.versions[k] = append(v.versions[k], s.Version())
	}
}

func (v *fakeView) Set(string) (*tier.ShardSet, bool) { return v.set, v.set != nil }

func (v *fakeView) Earlier(string) (*tier.ShardSet, bool) { return v.earlier, v.earlier != nil }

func (v *fakeView) Versions(_, dataCentre, shard string) (tier.Epoch, []tier.Version) {
	k := dataCentre + "/" + shard
	return v.epochs[k], v.versions[k]
}

func (v *fakeView) Reachable(dataCentre string) bool { return !v.unreachable[dataCentre] }

// servedLedger records which shards were served completely at each snapshot. Checks
// compare answers with it.
type servedLedger map[tier.Snapshot]map[string]bool

// result makes the result that a word of a script describes. The values of its records
// name the snapshot.
func (l servedLedger) result(s tier.Snapshot, word string) merger.ShardResult {
	if shard, miss, ok := strings.Cut(word, ":"); ok {
		return merger.NewMissingShard(shard, tier.MissReason(miss))
	}
	shard, fault, _ := strings.Cut(word, "!")
	records := []tier.Record{
		tier.NewRecord("shared", s.String()),
		tier.NewRecord(shard+"-1", s.String()),
		tier.NewRecord(shard+"-2", s.String()),
	}
	count, digest := len(records), tier.Digest(records)
	switch fault {
	case "cut":
		records = records[:1]
	case "corrupt":
		records[0] = tier.NewRecord("shared", "corrupt")
	default:
		if l[s] == nil {
			l[s] = map[string]bool{}
		}
		l[s][shard] = true
	}
	return merger.NewReceivedResult(shard, records, count, digest)
}

// check returns an error if an outcome contradicts what was served.
func (l servedLedger) check(o tier.Outcome) error {
	a, ok := o.(*tier.Answered)
	if !ok {
		return nil
	}
	keys := map[string]bool{}
	for _, r := range a.Records() {
		if r.Value() != a.Snapshot().String() {
			return errors.Errorf("the answer at %s holds a record of %s", a.Snapshot(), r.Value())
		}
		if keys[r.Key()] {
			return errors.Errorf("key %s occurs twice", r.Key())
		}
		keys[r.Key()] = true
	}
	for _, shard := range a.Coverage().Covered() {
		if !l[a.Snapshot()][shard] || !keys[shard+"-1"] || !keys[shard+"-2"] {
			return errors.Errorf("shard %s is listed as covered, but was not served or merged completely", shard)
		}
	}
	if len(keys) != 2*len(a.Coverage().Covered())+1 {
		return errors.Errorf("%d keys from %d covered shards", len(keys), len(a.Coverage().Covered()))
	}
	return nil
}

// makeSet makes a shard set from words SHARD=DC,DC. The shards divide the key hashes
// equally.
func makeSet(t rapid.TB, e tier.Epoch, words []string) *tier.ShardSet {
	var shards []tier.Shard
	servers := map[string]bool{}
	var list []tier.Backend
	width := math.MaxUint64 / uint64(len(words))
	for i, w := range words {
		id, where, _ := strings.Cut(w, "=")
		var replicas []string
		for _, d := range strings.Split(where, ",") {
			if !servers[d] {
				servers[d] = true
				list = append(list, tier.NewBackend(d, fmt.Sprintf("127.0.0.1:%d", len(servers)), d))
			}
			replicas = append(replicas, d)
		}
		to := width*uint64(i+1) - 1
		if i == len(words)-1 {
			to = math.MaxUint64
		}
		shards = append(shards, tier.NewShard(id, width*uint64(i), to, replicas...))
	}
	set, err := tier.NewShardSet("portao", tier.WithEpoch(e), tier.WithServers(list...), tier.WithShards(shards...))
	if err != nil {
		t.Fatalf("makeSet: %v", err)
	}
	return set
}

func parseHeld(t rapid.TB, words []string) []planner.HeldVersions {
	var out []planner.HeldVersions
	for _, w := range words {
		shard, at, _ := strings.Cut(w, "=")
		epoch, list, _ := strings.Cut(at, ".")
		var versions []tier.Version
		for _, v := range strings.Split(list, "+") {
			versions = append(versions, tier.Version(parseNumber(t, v)))
		}
		out = append(out, planner.NewHeldVersions(shard, tier.Epoch(parseNumber(t, epoch)), versions))
	}
	return out
}

func parseSnapshot(t rapid.TB, s string) tier.Snapshot {
	e, v, _ := strings.Cut(s, ".")
	return tier.NewSnapshot(tier.Epoch(parseNumber(t, e)), tier.Version(parseNumber(t, v)))
}

func parseNumber(t rapid.TB, s string) uint64 {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		t.Fatalf("number: %v", err)
	}
	return n
}
