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

// Pace of the reads of the platform's list of VMs.
const (
	startSpread   = 10 * tier.Second // of the first read, when all VMs start at once
	firstSeedWait = 1 * tier.Second
	lastSeedWait  = 60 * tier.Second
	seedTimeout   = 2 * tier.Second
)

// seeder is the duty that reads the platform's list of VMs of this data
// centre while no peer is known. The list lags, so it only tells gossip where
// to look.
type seeder struct {
	store  storer.Store
	key    string
	seeds  []string
	gossip *exchanger.Exchanger
	logger *log.Logger
}

// vmList is the platform's list of a data centre's VMs.
type vmList struct {
	VMs []listedVM `json:"vms"`
}

type listedVM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	State   string `json:"state"` // live or leaving
}

// Run reads the list whenever this VM is alone, less often each time, until
// ctx ends.
func (s *seeder) Run(ctx context.Context) error {
	wait := firstSeedWait
	if !paused(ctx, jittered(startSpread)) {
		return nil
	}
	for {
		if s.alone() {
			s.read(ctx)
			wait = min(2*wait, lastSeedWait)
		} else {
			wait = firstSeedWait
		}
		if !paused(ctx, jittered(wait)) {
			return nil
		}
	}
}

// paused waits, and reports whether it could before ctx ended.
func paused(ctx context.Context, m tier.Millis) bool {
	timer := time.NewTimer(m.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jittered is a time between half of m and m.
func jittered(m tier.Millis) tier.Millis { return m/2 + tier.Millis(rand.Int64N(int64(m/2)+1)) }

// alone reports whether no other VM is known to live.
func (s *seeder) alone() bool {
	for _, m := range s.gossip.Members() {
		if m.Name() != s.gossip.Self().Name() && m.State() != tier.VMDead {
			return false
		}
	}
	return true
}

func (s *seeder) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout.Duration())
	defer cancel()
	v, err := s.store.Get(ctx, s.key)
	if err != nil || !v.Present() {
		return
	}
	addresses, err := decodeVMList(v.Data())
	if err != nil {
		s.logger.Warn("vm-list", "key", s.key, "error", err)
		return
	}
	s.gossip.SetSeeds(append(addresses, s.seeds...))
}

// decodeVMList lists the addresses of the VMs in the platform's list that it
// does not say to be leaving.
func decodeVMList(b []byte) ([]string, error) {
	var l vmList
	if err := json.Unmarshal(b, &l); err != nil {
		return nil, errors.Wrap(err, "decodeVMList")
	}
	var out []string
	for _, v := range l.VMs {
		if v.State != "leaving" && validAddress(v.Address) {
			out = append(out, v.Address)
		}
	}
	return out, nil
}
