// Package merger merges the results of shards at one snapshot into one answer. It alone
// determines the coverage of an answer: a shard is covered if and only if its complete
// and checked reply was merged.
package merger

import (
	"sort"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/correlator"
)

// Merge collects the shard results of one snapshot. It is not safe for concurrent use.
type Merge struct {
	set        *tier.ShardSet
	snapshot   tier.Snapshot
	inMap      map[string]bool
	covered    map[string][]tier.Record
	missing    map[string]tier.MissReason
	duplicates int
}

// New returns an empty Merge of the shards in a set's shard map, at the map's epoch and
// an index version.
func New(set *tier.ShardSet, v tier.Version) *Merge {
	m := &Merge{
		set:      set,
		snapshot: tier.NewSnapshot(set.Epoch(), v),
		inMap:    make(map[string]bool, len(set.Shards())),
		covered:  make(map[string][]tier.Record, len(set.Shards())),
		missing:  map[string]tier.MissReason{},
	}
	for _, h := range set.Shards() {
		m.inMap[h.ID()] = true
	}
	return m
}

// Snapshot is the snapshot whose results are merged.
func (m *Merge) Snapshot() tier.Snapshot { return m.snapshot }

// Add merges the reply of a shard that was served at a snapshot. If the reply can't be
// merged, it changes nothing and returns a *SnapshotError, *ShardError,
// *KeyConflictError or *correlator.MismatchError.
func (m *Merge) Add(s tier.Snapshot, r ShardResult) error {
	if s != m.snapshot {
		return errors.Wrap(&SnapshotError{want: m.snapshot, got: s}, "Merge.Add")
	}
	if !m.inMap[r.shard] {
		return errors.Wrap(&ShardError{shard: r.shard, problem: ShardNotInMap}, "Merge.Add")
	}
	if _, done := m.covered[r.shard]; done {
		return errors.Wrap(&ShardError{shard: r.shard, problem: ShardRepeated}, "Merge.Add")
	}
	if r.miss != "" {
		return errors.Wrap(&ShardError{shard: r.shard, problem: ShardNoReply}, "Merge.Add")
	}
	if err := correlator.CheckRecords(r.records, r.count, r.digest); err != nil {
		return errors.Wrap(err, "Merge.Add")
	}
	if err := checkKeys(r); err != nil {
		return errors.Wrap(err, "Merge.Add")
	}
	m.covered[r.shard] = r.records
	delete(m.missing, r.shard)
	return nil
}

// checkKeys rejects a reply with two values of one key, since it is unknown which of them
// belongs to the snapshot.
func checkKeys(r ShardResult) error {
	seen := make(map[string]string, len(r.records))
	for _, e := range r.records {
		v, ok := seen[e.Key()]
		if ok && v != e.Value() {
			return &KeyConflictError{shard: r.shard, key: e.Key()}
		}
		seen[e.Key()] = e.Value()
	}
	return nil
}

// RecordMiss records why a shard is missing, unless its reply was merged.
func (m *Merge) RecordMiss(shard string, reason tier.MissReason) {
	if _, done := m.covered[shard]; done || !m.inMap[shard] {
		return
	}
	m.missing[shard] = reason
}

// Has reports whether the reply of a shard was merged.
func (m *Merge) Has(shard string) bool {
	_, ok := m.covered[shard]
	return ok
}

// Covered is how many shards were merged.
func (m *Merge) Covered() int { return len(m.covered) }

// Fraction is the covered fraction of the shards in the map, from 0 to 1.
func (m *Merge) Fraction() float64 { return float64(len(m.covered)) / float64(len(m.inMap)) }

// Complete reports whether every shard in the map was merged.
func (m *Merge) Complete() bool { return len(m.covered) == len(m.inMap) }

// Duplicates is how many records the last Answer dropped as duplicates of a key.
func (m *Merge) Duplicates() int { return m.duplicates }

// Coverage lists the covered and the missing shards. A shard with neither a reply nor a
// recorded reason is missing because of the deadline.
func (m *Merge) Coverage() tier.Coverage {
	var covered []string
	var missing []tier.Miss
	for _, h := range m.set.Shards() {
		if m.Has(h.ID()) {
			covered = append(covered, h.ID())
			continue
		}
		reason, ok := m.missing[h.ID()]
		if !ok {
			reason = tier.MissDeadline
		}
		missing = append(missing, tier.NewMiss(h.ID(), reason))
	}
	return tier.NewCoverage(covered, missing)
}

// Answer returns the merged answer, with records sorted by key and each key once.
func (m *Merge) Answer() *tier.Answered {
	return tier.NewAnswered(m.snapshot, m.Coverage(), m.records())
}

// records merges the records and drops duplicates. If two shards hold a key, as after a
// shard was split and before its old records are deleted, the record of the shard that the
// map assigns the key to is used.
func (m *Merge) records() []tier.Record {
	out := map[string]tier.Record{}
	m.duplicates = 0
	for _, h := range m.set.Shards() {
		for _, r := range m.covered[h.ID()] {
			_, duplicate := out[r.Key()]
			if duplicate {
				m.duplicates++
			}
			if !duplicate || h.Holds(tier.HashKey(r.Key())) {
				out[r.Key()] = r
			}
		}
	}
	sorted := make([]tier.Record, 0, len(out))
	for _, r := range out {
		sorted = append(sorted, r)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Key() < sorted[j].Key() })
	return sorted
}
