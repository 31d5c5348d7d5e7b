package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/storer"
)

const (
	// membersPrefix is where the VMs register, each under its name.
	membersPrefix = "cicadagrade/vms/"
	// membershipTTL is how long a VM stays registered that died: other VMs
	// notice its silence themselves.
	membershipTTL = 9 * tier.Second
	// membershipInterval is how often the registration is renewed.
	membershipInterval = 3 * tier.Second
	// membershipRetry is the pause after a call that failed.
	membershipRetry = 700 * tier.Millisecond
)

// registration is what a VM writes of itself.
type registration struct {
	Address     string  `json:"address"`
	DataCentre  string  `json:"data-centre"`
	Region      string  `json:"region"`
	Cores       float64 `json:"cores"`
	Incarnation uint64  `json:"incarnation"`
}

func (e *Entry) registration() ([]byte, error) {
	self := e.core.Partitioner().Self()
	raw, err := json.Marshal(registration{
		Address: self.VM().Address(), DataCentre: self.VM().DataCentre(), Region: self.Region(),
		Cores: self.Cores(), Incarnation: uint64(self.VM().Incarnation()),
	})
	return raw, errors.Wrap(err, "Entry.registration")
}

func decodeMember(v storer.Value) (partitioner.Member, error) {
	var r registration
	if err := json.Unmarshal(v.Data(), &r); err != nil {
		return partitioner.Member{}, errors.Wrapf(err, "decodeMember %q", v.Key())
	}
	name := strings.TrimPrefix(v.Key(), membersPrefix)
	vm := tier.NewVM(name, r.DataCentre, r.Address,
		tier.WithIncarnation(tier.Incarnation(r.Incarnation)), tier.WithVMState(tier.VMLive))
	return partitioner.NewMember(vm, r.Region, r.Cores), nil
}

// RunRegistration keeps the VM registered until it stops.
func (e *Entry) RunRegistration(ctx context.Context) error {
	var lease storer.LeaseID
	for ctx.Err() == nil && !e.stopping.Load() {
		err := e.renew(ctx, &lease)
		pause := membershipInterval
		if err != nil {
			e.log.RateLimitedInfo("registration-not-renewed", "error", err)
			pause = membershipRetry
		}
		select {
		case <-ctx.Done():
		case <-e.stopped:
		case <-time.After(pause.Duration()):
		}
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout.Duration())
		defer cancel()
		if err := e.store.Release(ctx, lease); err != nil {
			e.log.RateLimitedInfo("registration-not-ended", "error", err)
		}
	}
	<-ctx.Done()
	return nil
}

// renew renews the lease, and registers anew if it has lapsed or if others
// can't see the registration.
func (e *Entry) renew(ctx context.Context, lease *storer.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if *lease != 0 {
		left, err := e.store.KeepAlive(ctx, *lease)
		if err != nil {
			return errors.Wrap(err, "Entry.renew")
		}
		if left > 0 && e.listed.Load() {
			return nil
		}
	}
	raw, err := e.registration()
	if err != nil {
		return errors.Wrap(err, "Entry.renew")
	}
	id, err := e.store.Grant(ctx, membershipTTL)
	if err != nil {
		return errors.Wrap(err, "Entry.renew")
	}
	if _, err := e.store.Put(ctx, membersPrefix+e.core.Partitioner().Self().VM().Name(), raw, id); err != nil {
		return errors.Wrap(err, "Entry.renew")
	}
	e.listed.Store(true)
	*lease = id
	e.log.Info("registered", "lease", int64(id))
	return nil
}

// replaceMembers takes the whole list of VMs.
func (e *Entry) replaceMembers(list []storer.Value, lapsed bool) {
	var members []partitioner.Member
	self := false
	for _, v := range list {
		m, err := decodeMember(v)
		if err != nil {
			e.log.Warn("vm-entry-skipped", "key", v.Key(), "error", err)
			continue
		}
		self = self || m.VM().Name() == e.core.Partitioner().Self().VM().Name()
		members = append(members, m)
	}
	if !self {
		e.listed.Store(false)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Partitioner().SetMembers(e.clock.Now(), members, lapsed)
	e.core.Budgeter().SetVMs(max(assumedMembers, e.core.Partitioner().MemberCount()))
}

// applyMember takes the change of one VM's registration.
func (e *Entry) applyMember(v storer.Value) {
	name := strings.TrimPrefix(v.Key(), membersPrefix)
	self := name == e.core.Partitioner().Self().VM().Name()
	if !v.Present() {
		if self {
			e.listed.Store(false)
			return
		}
		e.mu.Lock()
		e.core.Partitioner().Remove(name)
		e.mu.Unlock()
		e.log.Info("vm-gone", "peer", name)
		return
	}
	m, err := decodeMember(v)
	if err != nil {
		e.log.Warn("vm-entry-skipped", "key", v.Key(), "error", err)
		return
	}
	e.mu.Lock()
	e.core.Partitioner().Put(m)
	e.core.Budgeter().SetVMs(max(assumedMembers, e.core.Partitioner().MemberCount()))
	e.mu.Unlock()
	if !self {
		e.log.Info("vm-listed", "peer", name, "address", m.VM().Address(), "data-centre", m.VM().DataCentre())
	}
}
