package tier

import "sort"

// MissReason says why an answer does not cover a shard.
type MissReason string

// The reasons.
const (
	MissDeadline      MissReason = "deadline"
	MissNoReplica     MissReason = "no-replica"
	MissRefused       MissReason = "refused"
	MissWrongSnapshot MissReason = "wrong-snapshot"
	MissUnreachable   MissReason = "cut-off"
	MissBadReply      MissReason = "bad-reply"
	MissCancelled     MissReason = "cancelled" // given up before the deadline
)

// Miss is a shard that an answer does not cover.
type Miss struct {
	shard  string
	reason MissReason
}

// NewMiss returns a miss of a shard.
func NewMiss(shard string, reason MissReason) Miss { return Miss{shard: shard, reason: reason} }

// Shard is the id of the shard.
func (m Miss) Shard() string { return m.shard }

// Reason says why it is missing.
func (m Miss) Reason() MissReason { return m.reason }

// Coverage says which shards of a snapshot's map an answer covers. The
// merger derives it from the replies it merged; nothing else makes one.
type Coverage struct {
	covered []string
	missing []Miss
}

// NewCoverage returns a coverage with both lists sorted by shard id.
func NewCoverage(covered []string, missing []Miss) Coverage {
	sort.Strings(covered)
	sort.Slice(missing, func(i, j int) bool { return missing[i].shard < missing[j].shard })
	return Coverage{covered: covered, missing: missing}
}

// Covered lists the ids of the shards whose whole reply was merged.
func (c Coverage) Covered() []string { return c.covered }

// Missing lists the other shards, each with its reason.
func (c Coverage) Missing() []Miss { return c.missing }

// Fraction is the covered part of all shards, from 0 to 1.
func (c Coverage) Fraction() float64 {
	n := len(c.covered) + len(c.missing)
	if n == 0 {
		return 0
	}
	return float64(len(c.covered)) / float64(n)
}

// Complete reports whether every shard is covered.
func (c Coverage) Complete() bool { return len(c.missing) == 0 && len(c.covered) > 0 }
