package merger

import (
	"fmt"

	"cicadagrade.example/tier"
)

// SnapshotError says that a result was served at another snapshot.
type SnapshotError struct {
	want tier.Snapshot
	got  tier.Snapshot
}

// Want is the snapshot of the merge.
func (e *SnapshotError) Want() tier.Snapshot { return e.want }

// Got is the snapshot of the result.
func (e *SnapshotError) Got() tier.Snapshot { return e.got }

// Error names both snapshots.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("a result of snapshot %s can't join a merge of %s", e.got, e.want)
}

// ShardProblem says why a shard's result may not count.
type ShardProblem string

// The problems.
const (
	ShardNotInMap ShardProblem = "foreign"  // not in the shard map
	ShardRepeated ShardProblem = "repeated" // already merged
	ShardNoReply  ShardProblem = "missed"   // the result holds no reply
)

// ShardError says that a result may not count for its shard.
type ShardError struct {
	shard   string
	problem ShardProblem
}

// Shard is the id that the result carries.
func (e *ShardError) Shard() string { return e.shard }

// Problem says why.
func (e *ShardError) Problem() ShardProblem { return e.problem }

// Error names shard and problem.
func (e *ShardError) Error() string {
	return fmt.Sprintf("the result of shard %q does not count: %s", e.shard, e.problem)
}

// KeyConflictError says that one reply holds two values of one key.
type KeyConflictError struct {
	shard string
	key   string
}

// Shard is the id of the shard.
func (e *KeyConflictError) Shard() string { return e.shard }

// Key is the record's key.
func (e *KeyConflictError) Key() string { return e.key }

// Error names shard and key.
func (e *KeyConflictError) Error() string {
	return fmt.Sprintf("the reply of shard %q holds two values of key %q", e.shard, e.key)
}
