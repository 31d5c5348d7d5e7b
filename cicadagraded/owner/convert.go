package owner

import (
	backendv1 "cicadagrade.example/api/backend/v1"
	"cicadagrade.example/tier"
)

// HeldVersions lists the index versions of a shard that backend servers hold, and the
// epoch of the shard map under which they hold them.
type HeldVersions struct {
	shard    string
	epoch    tier.Epoch
	versions []tier.Version
}

// NewHeldVersions returns the versions of a shard that are held under an epoch.
func NewHeldVersions(shard string, e tier.Epoch, versions []tier.Version) HeldVersions {
	return HeldVersions{shard: shard, epoch: e, versions: versions}
}

// Shard is the id of the shard.
func (h HeldVersions) Shard() string { return h.shard }

// Epoch is the epoch of the shard map.
func (h HeldVersions) Epoch() tier.Epoch { return h.epoch }

// Versions are the index versions.
func (h HeldVersions) Versions() []tier.Version { return h.versions }

func toRecords(list []*backendv1.Record) []tier.Record {
	records := make([]tier.Record, 0, len(list))
	for _, r := range list {
		records = append(records, tier.NewRecord(r.GetKey(), r.GetValue()))
	}
	return records
}

func toSnapshot(s *backendv1.Snapshot) tier.Snapshot {
	return tier.NewSnapshot(tier.Epoch(s.GetEpoch()), tier.Version(s.GetVersion()))
}

func toHeldVersions(h *backendv1.Holding) *HeldVersions {
	if h == nil {
		return nil
	}
	versions := make([]tier.Version, 0, len(h.GetVersions()))
	for _, v := range h.GetVersions() {
		versions = append(versions, tier.Version(v))
	}
	return &HeldVersions{shard: h.GetShard(), epoch: tier.Epoch(h.GetEpoch()), versions: versions}
}

func toState(s backendv1.ServerState) tier.BackendState {
	switch s {
	case backendv1.ServerState_SERVER_STATE_COLD:
		return tier.BackendCold
	case backendv1.ServerState_SERVER_STATE_LIVE:
		return tier.BackendLive
	case backendv1.ServerState_SERVER_STATE_SHEDDING:
		return tier.BackendShedding
	case backendv1.ServerState_SERVER_STATE_LEAVING:
		return tier.BackendLeaving
	default:
		return tier.BackendUnknown
	}
}
