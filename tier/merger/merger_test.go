package merger_test

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/correlator"
	"cicadagrade.example/tier/merger"
)

// TestMain fixes the seed, so that each run has the same verdict.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

const shards = 4

func newSet(t rapid.TB) *tier.ShardSet {
	const width = 1 << 62
	var h []tier.Shard
	for i := range uint64(shards) {
		h = append(h, tier.NewShard(fmt.Sprintf("s%d", i), i*width, i*width+(width-1), "a"))
	}
	set, err := tier.NewShardSet("portao", tier.WithEpoch(3),
		tier.WithServers(tier.NewBackend("a", "127.0.0.1:1", "serra-caxias")), tier.WithShards(h...))
	if err != nil {
		t.Fatalf("NewShardSet: %v", err)
	}
	return set
}

// served is one reply and whether a server truly made it whole at a
// snapshot. The values of its records name that snapshot.
type served struct {
	snapshot tier.Snapshot
	result   merger.ShardResult
	whole    bool
}

func drawReply(t *rapid.T) served {
	version := tier.Version(rapid.IntRange(7, 8).Draw(t, "version"))
	s := tier.NewSnapshot(3, version)
	shard := fmt.Sprintf("s%d", rapid.IntRange(0, shards).Draw(t, "shard"))
	var records []tier.Record
	for _, k := range rapid.SliceOfN(rapid.IntRange(0, 9), 1, 6).Draw(t, "keys") {
		records = append(records, tier.NewRecord(fmt.Sprint("k", k), fmt.Sprint(s, "/k", k)))
	}
	count, digest := len(records), tier.Digest(records)
	whole := true
	switch rapid.SampledFrom([]string{"whole", "whole", "cut", "corrupt", "ambiguous", "missed"}).Draw(t, "kind") {
	case "cut":
		records, whole = records[:count-1], false
	case "corrupt":
		records[0], whole = tier.NewRecord(records[0].Key(), "x"), false
	case "ambiguous":
		records = append(records, tier.NewRecord(records[0].Key(), "x"))
		count, digest, whole = len(records), tier.Digest(records), false
	case "missed":
		return served{snapshot: s, result: merger.NewMissingShard(shard, tier.MissRefused)}
	}
	return served{snapshot: s, result: merger.NewReceivedResult(shard, records, count, digest), whole: whole}
}

// checkAnswer compares an answer with what was truly served: an oracle that
// shares no code with the merger.
func checkAnswer(a *tier.Answered, pinned tier.Snapshot, replies []served) error {
	want := map[string]string{}
	covered := map[string]bool{}
	for _, r := range replies {
		if !r.whole || r.snapshot != pinned || r.result.Shard() == fmt.Sprint("s", shards) || covered[r.result.Shard()] {
			continue
		}
		covered[r.result.Shard()] = true
		for _, e := range r.result.Records() {
			want[e.Key()] = e.Value()
		}
	}
	if a.Snapshot() != pinned {
		return errors.Errorf("answer of %s, pinned %s", a.Snapshot(), pinned)
	}
	for _, h := range a.Coverage().Covered() {
		if !covered[h] {
			return errors.Errorf("shard %s is said to be covered", h)
		}
	}
	if n := len(a.Coverage().Covered()); n != len(covered) || n+len(a.Coverage().Missing()) != shards {
		return errors.Errorf("%d shards covered, want %d", n, len(covered))
	}
	if len(a.Records()) != len(want) {
		return errors.Errorf("%d records, want %d", len(a.Records()), len(want))
	}
	for _, r := range a.Records() {
		if want[r.Key()] != r.Value() {
			return errors.Errorf("record %s is %q, want %q", r.Key(), r.Value(), want[r.Key()])
		}
	}
	if !sort.SliceIsSorted(a.Records(), func(i, j int) bool { return a.Records()[i].Key() < a.Records()[j].Key() }) {
		return errors.New("records are not sorted")
	}
	return nil
}

func TestAnswerIsWhatWasServed(t *testing.T) {
	set := newSet(t)
	rapid.Check(t, func(t *rapid.T) {
		replies := rapid.SliceOfN(rapid.Custom(drawReply), 0, 12).Draw(t, "replies")
		m := merger.New(set, 7)
		for _, r := range replies {
			if m.Add(r.snapshot, r.result) != nil {
				m.RecordMiss(r.result.Shard(), tier.MissBadReply)
			}
		}
		if err := checkAnswer(m.Answer(), m.Snapshot(), replies); err != nil {
			t.Fatal(err)
		}
	})
}

// naiveMerge takes every reply that names a shard, as a merger without
// snapshots and digests would.
func naiveMerge(set *tier.ShardSet, replies []served) *tier.Answered {
	records := []tier.Record{}
	covered := map[string]bool{}
	for _, r := range replies {
		records = append(records, r.result.Records()...)
		covered[r.result.Shard()] = true
	}
	var names []string
	var missing []tier.Miss
	for _, h := range set.Shards() {
		if covered[h.ID()] {
			names = append(names, h.ID())
			continue
		}
		missing = append(missing, tier.NewMiss(h.ID(), tier.MissDeadline))
	}
	return tier.NewAnswered(tier.NewSnapshot(3, 7), tier.NewCoverage(names, missing), records)
}

// TestCheckSeesNaiveMerge shows that the check above can fail: it objects to
// two versions, to a doubled key and to a reply cut short.
func TestCheckSeesNaiveMerge(t *testing.T) {
	set := newSet(t)
	old, now := tier.NewSnapshot(3, 7), tier.NewSnapshot(3, 8)
	one := []tier.Record{tier.NewRecord("k1", "v")}
	two := []tier.Record{tier.NewRecord("k1", "v"), tier.NewRecord("k2", "v")}
	for name, replies := range map[string][]served{
		"mixed":   {{old, merger.NewShardResult("s0", one), true}, {now, merger.NewShardResult("s1", two), true}},
		"doubled": {{old, merger.NewShardResult("s0", one), true}, {old, merger.NewShardResult("s1", one), true}},
		"cut":     {{old, merger.NewReceivedResult("s0", one, 2, tier.Digest(two)), false}},
	} {
		if checkAnswer(naiveMerge(set, replies), old, replies) == nil {
			t.Errorf("%s: the check passes a naive merge", name)
		}
	}
}

func TestAddSaysWhy(t *testing.T) {
	set := newSet(t)
	m := merger.New(set, 7)
	r := merger.NewShardResult("s0", nil)
	var snapshot *merger.SnapshotError
	if err := m.Add(tier.NewSnapshot(2, 7), r); !errors.As(err, &snapshot) || snapshot.Got().Epoch() != 2 {
		t.Errorf("other epoch: %v", err)
	}
	if err := m.Add(m.Snapshot(), r); err != nil {
		t.Errorf("an empty shard: %v", err)
	}
	var shard *merger.ShardError
	if err := m.Add(m.Snapshot(), r); !errors.As(err, &shard) || shard.Problem() != merger.ShardRepeated {
		t.Errorf("repeated: %v", err)
	}
	var field *correlator.MismatchError
	cut := merger.NewReceivedResult("s1", nil, 1, "")
	if err := m.Add(m.Snapshot(), cut); !errors.As(err, &field) || field.Field() != correlator.FieldCount {
		t.Errorf("cut: %v", err)
	}
}
