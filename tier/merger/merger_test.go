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

// TestMain sets a fixed seed, so that each run draws the same values.
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

// servedReply is a reply and whether it is valid: complete, intact and served at its
// snapshot. The values of its records contain that snapshot.
type servedReply struct {
	snapshot tier.Snapshot
	result   merger.ShardResult
	valid    bool
}

func drawReply(t *rapid.T) servedReply {
	version := tier.Version(rapid.IntRange(7, 8).Draw(t, "version"))
	s := tier.NewSnapshot(3, version)
	shard := fmt.Sprintf("s%d", rapid.IntRange(0, shards).Draw(t, "shard"))
	var records []tier.Record
	for _, k := range rapid.SliceOfN(rapid.IntRange(0, 9), 1, 6).Draw(t, "keys") {
		records = append(records, tier.NewRecord(fmt.Sprint("k", k), fmt.Sprint(s, "/k", k)))
	}
	count, digest := len(records), tier.Digest(records)
	valid := true
	switch rapid.SampledFrom([]string{"valid", "valid", "truncated", "corrupt", "conflicting", "missing"}).Draw(t, "kind") {
	case "truncated":
		records, valid = records[:count-1], false
	case "corrupt":
		records[0], valid = tier.NewRecord(records[0].Key(), "x"), false
	case "conflicting":
		records = append(records, tier.NewRecord(records[0].Key(), "x"))
		count, digest, valid = len(records), tier.Digest(records), false
	case "missing":
		return servedReply{snapshot: s, result: merger.NewMissingShard(shard, tier.MissRefused)}
	}
	return servedReply{snapshot: s, result: merger.NewReceivedResult(shard, records, count, digest), valid: valid}
}

// checkAnswer compares an answer with the replies served. It shares no code with the
// merger, so that it serves as an independent oracle.
func checkAnswer(a *tier.Answered, pinned tier.Snapshot, replies []servedReply) error {
	want := map[string]string{}
	covered := map[string]bool{}
	for _, r := range replies {
		if !r.valid || r.snapshot != pinned || r.result.Shard() == fmt.Sprint("s", shards) || covered[r.result.Shard()] {
			continue
		}
		covered[r.result.Shard()] = true
		for _, e := range r.result.Records() {
			want[e.Key()] = e.Value()
		}
	}
	if a.Snapshot() != pinned {
		return errors.Errorf("answer at snapshot %s, pinned %s", a.Snapshot(), pinned)
	}
	for _, h := range a.Coverage().Covered() {
		if !covered[h] {
			return errors.Errorf("shard %s is reported as covered", h)
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

func TestAnswerMatchesServedReplies(t *testing.T) {
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

// naiveMerge merges every reply that names a shard, without checking snapshots, counts
// or digests.
func naiveMerge(set *tier.ShardSet, replies []servedReply) *tier.Answered {
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

// TestAnswerCheckDetectsNaiveMerge checks that checkAnswer rejects answers with two index
// versions, with a duplicate key, or with a truncated reply.
func TestAnswerCheckDetectsNaiveMerge(t *testing.T) {
	set := newSet(t)
	pinned, newer := tier.NewSnapshot(3, 7), tier.NewSnapshot(3, 8)
	one := []tier.Record{tier.NewRecord("k1", "v")}
	two := []tier.Record{tier.NewRecord("k1", "v"), tier.NewRecord("k2", "v")}
	for name, replies := range map[string][]servedReply{
		"mixed versions": {{pinned, merger.NewShardResult("s0", one), true}, {newer, merger.NewShardResult("s1", two), true}},
		"duplicate key":  {{pinned, merger.NewShardResult("s0", one), true}, {pinned, merger.NewShardResult("s1", one), true}},
		"truncated":      {{pinned, merger.NewReceivedResult("s0", one, 2, tier.Digest(two)), false}},
	} {
		if checkAnswer(naiveMerge(set, replies), pinned, replies) == nil {
			t.Errorf("%s: the check accepts a naive merge", name)
		}
	}
}

func TestAddReturnsTypedErrors(t *testing.T) {
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
		t.Errorf("duplicate result: %v", err)
	}
	var field *correlator.MismatchError
	truncated := merger.NewReceivedResult("s1", nil, 1, "")
	if err := m.Add(m.Snapshot(), truncated); !errors.As(err, &field) || field.Field() != correlator.FieldCount {
		t.Errorf("truncated: %v", err)
	}
}
