package merger

import (
	"fmt"

	"cicadagrade.example/tier"
)

// SnapshotError reports that a result was served at another snapshot than that of the
// merge.
type SnapshotError struct {
	want tier.Snapshot
	got  tier.Snapshot
}

// Want is the snapshot of the merge.
func (e *SnapshotError) Want() tier.Snapshot { return e.want }

// Got is the snapshot of the result.
func (e *SnapshotError) Got() tier.Snapshot { return e.got }

// Error states both snapshots.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("result of snapshot %s can't be merged at snapshot %s", e.got, e.want)
}

// ShardProblem says why the result of a shard can't be merged.
type ShardProblem string

// The reasons why a result can't be merged.
const (
	ShardNotInMap ShardProblem = "foreign"  // the shard is not in the shard map
	ShardRepeated ShardProblem = "repeated" // a result of the shard was merged before
	ShardNoReply  ShardProblem = "missed"   // the result has no reply
)

// ShardError reports that the result of a shard can't be merged.
type ShardError struct {
	shard   string
	problem ShardProblem
}

// Shard is the shard id in the result.
func (e *ShardError) Shard() string { return e.shard }

// Problem says why the result can't be merged.
func (e *ShardError) Problem() ShardProblem { return e.problem }

// Error states the shard and the problem.
func (e *ShardError) Error() string {
	return fmt.Sprintf("result of shard %q can't be merged: %s", e.shard, e.problem)
}

// KeyConflictError reports that a reply has two different values of one key.
type KeyConflictError struct {
	shard string
	key   string
}

// Shard is the id of the shard.
func (e *KeyConflictError) Shard() string { return e.shard }

// Key is the key with two values.
func (e *KeyConflictError) Key() string { return e.key }

// Error states the shard and the key.
func (e *KeyConflictError) Error() string {
	return fmt.Sprintf("reply of shard %q has two values of key %q", e.shard, e.key)
}
