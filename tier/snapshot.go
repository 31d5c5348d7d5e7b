package tier

import "fmt"

// Epoch numbers the shard maps of a set; a higher one replaces a lower one.
type Epoch uint64

// Version numbers the index versions of a set.
type Version uint64

// Snapshot names the one state of a set that an answer reflects.
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

// String is the form in answers, such as "3.17".
func (s Snapshot) String() string { return fmt.Sprintf("%d.%d", s.epoch, s.version) }
