package tier

import "fmt"

// Epoch is the number of a shard map of a set. A map with a higher epoch replaces one with a
// lower epoch.
type Epoch uint64

// Version is the number of an index version, a state of the records of a set.
type Version uint64

// Snapshot identifies the state of a set that an answer reflects: an index version under a
// shard map.
type Snapshot struct {
	epoch   Epoch
	version Version
}

// NewSnapshot returns the snapshot of an index version under a shard map.
func NewSnapshot(e Epoch, v Version) Snapshot { return Snapshot{epoch: e, version: v} }

// Epoch is the shard map's epoch.
func (s Snapshot) Epoch() Epoch { return s.epoch }

// Version is the index version.
func (s Snapshot) Version() Version { return s.version }

// String returns epoch and version as written in answers, such as "3.17".
func (s Snapshot) String() string { return fmt.Sprintf("%d.%d", s.epoch, s.version) }
