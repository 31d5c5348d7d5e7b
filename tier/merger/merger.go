// Package merger merges the results of the shards of one snapshot into one
// answer. It is the only maker of coverage: a shard is covered when its
// whole, checked reply was merged, and for no other reason.
package merger

import (
	"sort"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/correlator"
)

// Merge gathers the results of one snapshot. It is not safe for concurrent
// use.
type Merge struct {
	set      *tier.ShardSet
	snapshot tier.Snapshot
	owner    map[string]bool
	covered  map[string][]tier.Record
	missing  map[string]tier.MissReason
	doubled  int
}

// New returns a merge under a shard map of one of its index versions.
func New(set *tier.ShardSet, v tier.Version) *Merge {
	m := &Merge{
		set:      set,
		snapshot: tier.NewSnapshot(set.Epoch(), v),
		owner:    make(map[string]bool, len(set.Shards())),
		covered:  make(map[string][]tier.Record, len(set.Shards())),
		missing:  map[string]tier.MissReason{},
	}
	for _, h := range set.Shards() {
		m.owner[h.ID()] = true
	}
	return m
}

// Snapshot is the one snapshot that is merged.
func (m *Merge) Snapshot() tier.Snapshot { return m.snapshot }

// Add merges the whole reply of a shard that was served at a snapshot. It
// takes nothing and returns a *SnapshotError, *ShardError, *KeyError or
// *correlator.MismatchError when the reply may not count.
func (m *Merge) Add(s tier.Snapshot, r ShardResult) error {
	if s != m.snapshot {
		return errors.Wrap(&SnapshotError{want: m.snapshot, got: s}, "Merge.Add")
	}
	if !m.owner[r.shard] {
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

// checkKeys rejects a reply that holds two values of one key: it can't be
// told which of them is the snapshot's.
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

// RecordMiss notes why a shard is missing, unless its reply was merged.
func (m *Merge) RecordMiss(shard string, reason tier.MissReason) {
	if _, done := m.covered[shard]; done || !m.owner[shard] {
		return
	}
	m.missing[shard] = reason
}

// Has reports whether the whole reply of a shard was merged.
func (m *Merge) Has(shard string) bool {
	_, ok := m.covered[shard]
	return ok
}

// Covered is how many shards were merged.
func (m *Merge) Covered() int { return len(m.covered) }

// Fraction is the covered part of all shards of the map, from 0 to 1.
func (m *Merge) Fraction() float64 { return float64(len(m.covered)) / float64(len(m.owner)) }

// Complete reports whether every shard of the map was merged.
func (m *Merge) Complete() bool { return len(m.covered) == len(m.owner) }

// Duplicates is how many records the last Answer dropped because their key
// stood there already.
func (m *Merge) Duplicates() int { return m.doubled }

// Coverage is the true coverage. A shard with neither a reply nor a noted
// reason is missing for the deadline.
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

// Answer is the merged answer: records sorted by key, each key once.
func (m *Merge) Answer() *tier.Answered {
	return tier.NewAnswered(m.snapshot, m.Coverage(), m.records())
}

// records drops doubled keys. Where two shards hold a key, as after a split
// that is not yet cleaned up, the shard that the map gives the key to wins.
func (m *Merge) records() []tier.Record {
	out := map[string]tier.Record{}
	m.doubled = 0
	for _, h := range m.set.Shards() {
		for _, r := range m.covered[h.ID()] {
			_, double := out[r.Key()]
			if double {
				m.doubled++
			}
			if !double || h.Holds(tier.HashKey(r.Key())) {
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
