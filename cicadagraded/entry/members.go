package entry

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/storer"
)

const (
	// statePrefix begins the keys of all that VMs keep in the store for each other, so that
	// one call lists it.
	statePrefix = "cicadagrade/vm"
	// vmsPrefix is the prefix of the store's keys for the VMs' registrations, each
	// followed by the VM's name.
	vmsPrefix = "cicadagrade/vms/"
	// registrationTTL is how long a VM stays registered after its last renewal. It need
	// not be short, since other VMs detect by themselves that a VM does not answer.
	registrationTTL = 9 * tier.Second
	// registrationInterval is how often the registration is renewed.
	registrationInterval = 3 * tier.Second
	// registrationRetryInterval is the pause after a failed renewal.
	registrationRetryInterval = 700 * tier.Millisecond
)

// maxCores bounds the cores of a VM in its registration: beside one with more, all others would
// count as small.
const maxCores = 4096

// registration is the stored description of a VM.
type registration struct {
	Address     string  `json:"address"`
	DataCentre  string  `json:"data-centre"`
	Region      string  `json:"region"`
	Cores       float64 `json:"cores"`
	Incarnation uint64  `json:"incarnation"`
}

// encodeRegistration returns this VM's registration as JSON.
func (e *Entry) encodeRegistration() ([]byte, error) {
	self := e.scheduler.Partitioner().Self()
	raw, err := json.Marshal(registration{
		Address: self.VM().Address(), DataCentre: self.VM().DataCentre(), Region: self.Region(),
		Cores: self.Cores(), Incarnation: uint64(self.VM().Incarnation()),
	})
	return raw, errors.Wrap(err, "Entry.encodeRegistration")
}

// decodeMember decodes a VM's registration.
func decodeMember(v storer.Value) (partitioner.Member, error) {
	var r registration
	if err := json.Unmarshal(v.Data(), &r); err != nil {
		return partitioner.Member{}, errors.Wrapf(err, "decodeMember %q", v.Key())
	}
	host, port, err := net.SplitHostPort(r.Address)
	if err != nil || host == "" {
		return partitioner.Member{}, errors.Errorf("decodeMember %q: the address %q is not host:port", v.Key(), r.Address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return partitioner.Member{}, errors.Errorf("decodeMember %q: the port %q is not from 1 to 65535", v.Key(), port)
	}
	if r.Cores <= 0 || r.Cores > maxCores {
		return partitioner.Member{}, errors.Errorf("decodeMember %q: %g cores are not from 0 to %d", v.Key(), r.Cores, maxCores)
	}
	name := strings.TrimPrefix(v.Key(), vmsPrefix)
	vm := tier.NewVM(name, r.DataCentre, r.Address,
		tier.WithIncarnation(tier.Incarnation(r.Incarnation)), tier.WithVMState(tier.VMLive))
	return partitioner.NewMember(vm, r.Region, r.Cores), nil
}

// RunRegistration keeps this VM registered in the store until shutdown begins, if other VMs
// need to know it and it has a view. Then it removes the registration, and returns when ctx
// ends.
func (e *Entry) RunRegistration(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-e.shutdown:
	case <-e.loaded:
	}
	var lease storer.LeaseID
	for ctx.Err() == nil && !e.stopping.Load() {
		e.mu.Lock()
		wanted := e.scheduler.Partitioner().ShouldRegister(e.clock.Now())
		e.mu.Unlock()
		pause := registrationInterval
		var err error
		switch {
		case wanted:
			err = e.renewRegistration(ctx, &lease)
		case lease != 0:
			err = e.endRegistration(ctx, &lease)
		}
		if err != nil {
			e.log.RateLimitedInfo("registration-not-changed", "wanted", wanted, "error", err)
			pause = registrationRetryInterval
		}
		select {
		case <-ctx.Done():
		case <-e.shutdown:
		case <-e.unregistered:
		case <-time.After(pause.Duration()):
		}
	}
	if lease != 0 {
		if err := e.endRegistration(context.WithoutCancel(ctx), &lease); err != nil {
			e.log.RateLimitedInfo("registration-not-ended", "error", err)
		}
	}
	<-ctx.Done()
	return nil
}

// wakeRegistration makes RunRegistration register again.
func (e *Entry) wakeRegistration() {
	select {
	case e.unregistered <- struct{}{}:
	default:
	}
}

// endRegistration removes the registration with its lease.
func (e *Entry) endRegistration(ctx context.Context, lease *storer.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	if e.store.Era() != e.registeredEra {
		*lease = 0 // the id may be that of another VM's lease
		e.registered.Store(false)
		return nil
	}
	if err := e.store.Release(ctx, *lease); err != nil {
		return errors.Wrap(err, "Entry.endRegistration")
	}
	*lease = 0
	e.registered.Store(false)
	e.log.Info("registration-ended")
	return nil
}

// renewRegistration renews the lease of the registration. It registers again, under a new
// lease, if the lease has expired, the registration is missing from the store, or the store has
// returned from a copy: another VM may have got a lease with the same id since.
func (e *Entry) renewRegistration(ctx context.Context, lease *storer.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	if *lease != 0 {
		left, err := e.store.KeepAlive(ctx, *lease)
		if err != nil {
			return errors.Wrap(err, "Entry.renewRegistration")
		}
		if left > 0 && e.registered.Load() && e.store.Era() == e.registeredEra {
			return nil
		}
	}
	raw, err := e.encodeRegistration()
	if err != nil {
		return errors.Wrap(err, "Entry.renewRegistration")
	}
	id, err := e.store.Grant(ctx, registrationTTL)
	if err != nil {
		return errors.Wrap(err, "Entry.renewRegistration")
	}
	era := e.store.Era()
	if _, err := e.store.Put(ctx, vmsPrefix+e.scheduler.Partitioner().Self().VM().Name(), raw, id); err != nil {
		return errors.Wrap(err, "Entry.renewRegistration")
	}
	e.registered.Store(true)
	*lease, e.registeredEra = id, era
	e.log.Info("registered", "lease", int64(id))
	return nil
}

// replaceMembers replaces the list of VMs by the registrations in the store. afterOutage has
// the same meaning as in replaceView.
func (e *Entry) replaceMembers(list []storer.Value, afterOutage bool) {
	members := e.decodeMembers(list)
	listed := slices.ContainsFunc(members, func(m partitioner.Member) bool { return m.VM().Name() == e.settings.Load().Name() })
	if !listed && e.registered.Swap(false) {
		e.wakeRegistration()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scheduler.SetListed(listed)
	e.scheduler.Partitioner().SetMembers(e.clock.Now(), members, afterOutage)
}

// addMembers adds VMs to the known ones.
func (e *Entry) addMembers(list []storer.Value) {
	members := e.decodeMembers(list)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range members {
		e.scheduler.Partitioner().Put(m)
	}
}

// decodeMembers decodes VMs' registrations. It logs and skips those that can't be decoded.
func (e *Entry) decodeMembers(list []storer.Value) []partitioner.Member {
	members := make([]partitioner.Member, 0, len(list))
	for _, v := range list {
		m, err := decodeMember(v)
		if err != nil {
			e.log.Warn("vm-entry-skipped", "key", v.Key(), "error", err)
			continue
		}
		members = append(members, m)
	}
	return members
}

// applyMember applies the change of one VM's registration.
func (e *Entry) applyMember(v storer.Value) {
	name := strings.TrimPrefix(v.Key(), vmsPrefix)
	isSelf := name == e.scheduler.Partitioner().Self().VM().Name()
	if !v.Present() {
		if isSelf {
			e.registered.Store(false)
			e.mu.Lock()
			e.scheduler.SetListed(false)
			e.mu.Unlock()
			e.wakeRegistration()
			return
		}
		e.mu.Lock()
		e.scheduler.Partitioner().Remove(e.clock.Now(), name)
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
	e.scheduler.Partitioner().Put(m)
	e.mu.Unlock()
	if !isSelf {
		e.log.Info("vm-listed", "peer", name, "address", m.VM().Address(), "data-centre", m.VM().DataCentre())
	}
}
