package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/exchanger"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// Intervals and timeout of the reads of the platform's list of VMs.
const (
	maxStartDelay   = 10 * tier.Second // spreads the first reads when all VMs start at once
	minSeedInterval = 1 * tier.Second
	maxSeedInterval = 60 * tier.Second
	listReadTimeout = 2 * tier.Second
)

// seeder reads the platform's list of VMs of this data centre while no peer is known. The list
// may be out of date, so it only gives gossip addresses to contact.
type seeder struct {
	store  storer.Store
	key    string
	seeds  []string
	gossip *exchanger.Exchanger
	logger *log.Logger
}

// vmList is the stored form of the platform's list of a data centre's VMs.
type vmList struct {
	VMs []listedVM `json:"vms"`
}

type listedVM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	State   string `json:"state"` // live or leaving
}

// Run reads the list while no peer is known, at intervals that double each time, until ctx
// ends.
func (s *seeder) Run(ctx context.Context) error {
	interval := minSeedInterval
	if !sleep(ctx, jitter(maxStartDelay)) {
		return nil
	}
	for {
		if s.isAlone() {
			s.readVMList(ctx)
			interval = min(2*interval, maxSeedInterval)
		} else {
			interval = minSeedInterval
		}
		if !sleep(ctx, jitter(interval)) {
			return nil
		}
	}
}

// sleep waits for a duration. It returns false if ctx ended before.
func sleep(ctx context.Context, m tier.Millis) bool {
	timer := time.NewTimer(m.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jitter returns a random duration between m/2 and m.
func jitter(m tier.Millis) tier.Millis { return m/2 + tier.Millis(rand.Int64N(int64(m/2)+1)) }

// isAlone reports whether gossip knows no other VM, or only dead ones.
func (s *seeder) isAlone() bool {
	for _, m := range s.gossip.Members() {
		if m.Name() != s.gossip.Self().Name() && m.State() != tier.VMDead {
			return false
		}
	}
	return true
}

func (s *seeder) readVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout.Duration())
	defer cancel()
	value, err := s.store.Get(ctx, s.key)
	if err != nil || !value.Present() {
		return
	}
	addresses, err := decodeVMList(value.Data())
	if err != nil {
		s.logger.Warn("vm-list", "key", s.key, "error", err)
		return
	}
	s.gossip.SetSeeds(append(addresses, s.seeds...))
}

// decodeVMList returns the valid addresses of the VMs in the platform's list, except of VMs
// that are leaving.
func decodeVMList(b []byte) ([]string, error) {
	var list vmList
	if err := json.Unmarshal(b, &list); err != nil {
		return nil, errors.Wrap(err, "decodeVMList")
	}
	var out []string
	for _, v := range list.VMs {
		if v.State != "leaving" && validAddress(v.Address) {
			out = append(out, v.Address)
		}
	}
	return out, nil
}
