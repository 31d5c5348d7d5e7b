package tier

import "sort"

// MissReason says why an answer does not cover a shard.
type MissReason string

// The reasons for a miss.
const (
	MissDeadline      MissReason = "deadline"
	MissNoReplica     MissReason = "no-replica"
	MissRefused       MissReason = "refused"
	MissWrongSnapshot MissReason = "wrong-snapshot"
	MissUnreachable   MissReason = "cut-off" // no owner could be reached, or its reply was lost
	MissBadReply      MissReason = "bad-reply"
	MissCancelled     MissReason = "cancelled" // abandoned before the deadline
)

// Miss is a shard that an answer does not cover, with the reason.
type Miss struct {
	shard  string
	reason MissReason
}

// NewMiss returns a miss of the shard with the given id.
func NewMiss(shard string, reason MissReason) Miss { return Miss{shard: shard, reason: reason} }

// Shard is the id of the shard.
func (m Miss) Shard() string { return m.shard }

// Reason says why the shard is not covered.
func (m Miss) Reason() MissReason { return m.reason }

// Coverage says which shards of a snapshot's shard map an answer covers. Only the merger
// creates one, from the replies that it merged.
type Coverage struct {
	covered []string
	missing []Miss
}

// NewCoverage returns a coverage. It sorts both lists by shard id, in place.
func NewCoverage(covered []string, missing []Miss) Coverage {
	sort.Strings(covered)
	sort.Slice(missing, func(i, j int) bool { return missing[i].shard < missing[j].shard })
	return Coverage{covered: covered, missing: missing}
}

// Covered lists the ids of the shards whose whole reply was merged.
func (c Coverage) Covered() []string { return c.covered }

// Missing lists the shards that are not covered, with the reasons.
func (c Coverage) Missing() []Miss { return c.missing }

// Fraction is the fraction of all shards that is covered, from 0 to 1.
func (c Coverage) Fraction() float64 {
	n := len(c.covered) + len(c.missing)
	if n == 0 {
		return 0
	}
	return float64(len(c.covered)) / float64(n)
}

// Complete reports whether every shard is covered. It is false if there are no shards.
func (c Coverage) Complete() bool { return len(c.missing) == 0 && len(c.covered) > 0 }
