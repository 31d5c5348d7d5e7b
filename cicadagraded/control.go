package main

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/exchanger"
	"cicadagrade.example/cicadagraded/locator"
	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/cicadagraded/watcher"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
	"cicadagrade.example/tier/gossiper"
	"cicadagrade.example/tier/picker"
	"cicadagrade.example/tier/queue"
)

// Pace and sizes of the control duty.
const (
	changesSize     = 4096
	controlInterval = 100 * time.Millisecond
	// setPrefix starts the gossip key of an owner's report.
	setPrefix = "set/"
	// admitPrefix starts the gossip key of an owner's threshold.
	admitPrefix = "admit/"
	// indexKeys is how many keys of an index are read again.
	indexKeys = 128
)

// control is the duty that brings locator and owners in line with gossip and
// configuration.
type control struct {
	self     tier.VM
	logger   *log.Logger
	gossip   *exchanger.Exchanger
	changes  *queue.Queue[gossiper.Action]
	config   *watcher.Watcher
	locator  *locator.Locator
	registry *owner.Registry
	members  []tier.VM
	sets     []*tier.ShardSet
	dropped  uint64
	replaced *queue.Queue[tier.VM]
	joined   bool
	began    tier.Millis
	clock    *tier.Clock
	join     func()
}

// Run follows changes until ctx ends.
func (c *control) Run(ctx context.Context) error {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-c.changes.Chan():
			c.change(a)
		case <-ticker.C:
			if err := c.sync(ctx); err != nil {
				return errors.Wrap(err, "control.Run")
			}
		}
	}
}

// change notes one change that gossip brought.
func (c *control) change(a gossiper.Action) {
	switch a := a.(type) {
	case *gossiper.MemberChanged:
		vm := a.VM()
		c.logger.Info("member", "vm", vm.Name(), "data-centre", vm.DataCentre(), "incarnation", vm.Incarnation(), "state", vm.State())
	case *gossiper.EntryChanged:
		c.entry(a.Origin(), a.Key(), a.Value())
	}
}

// entry takes a value that a VM published.
func (c *control) entry(origin, key string, value []byte) {
	if strings.HasPrefix(key, watcher.IndexKeyPrefix) {
		if err := c.config.OnIndexEntry(origin, key, value); err != nil {
			c.logger.Warn("index", "vm", origin, "error", err)
		}
		return
	}
	if name, ok := strings.CutPrefix(key, ownerPrefix); ok {
		c.announced(name, value)
	}
	if set, ok := strings.CutPrefix(key, admitPrefix); ok {
		c.admission(origin, set, value)
	}
	if set, ok := strings.CutPrefix(key, setPrefix); ok {
		c.report(origin, set, value)
	}
}

// admission notes an owner's threshold.
func (c *control) admission(origin, set string, value []byte) {
	t, err := owner.DecodeThreshold(value)
	if err != nil {
		c.logger.Warn("threshold", "vm", origin, "set", set, "error", err)
	}
	c.locator.UpdateThreshold(set, origin, t)
}

// report notes what an owner's servers hold.
func (c *control) report(origin, set string, value []byte) {
	if len(value) == 0 {
		c.locator.UpdateReport(set, origin, owner.Report{}, false)
		return
	}
	r, err := owner.DecodeReport(value)
	if err != nil {
		c.logger.Warn("report", "vm", origin, "set", set, "error", err)
		return
	}
	c.locator.UpdateReport(set, origin, r, true)
}

// sync passes on members and sets, and has the registry follow them.
func (c *control) sync(ctx context.Context) error {
	if d := c.gossip.DroppedChanges(); d != c.dropped {
		c.dropped = d
		c.reread()
	}
	if vm, ok := c.gossip.ReplacedBy(); ok {
		c.replaced.TryPush(vm)
	}
	c.members = c.gossip.Members()
	c.sets = c.config.Sets()
	c.config.OnMembers(c.presentNames())
	c.locator.Update(c.sets, c.members, c.gossip.Reachable)
	if !c.gossip.Fresh() {
		return nil
	}
	c.tryJoin()
	return c.registry.Sync(ctx, c.sets, c.ownersOf)
}

// joinLimit is how long a VM waits for the reports of owners before it joins
// without them: there may be none.
const joinLimit = 5 * tier.Second

// tryJoin has the VM join once it has heard from peers, has a configuration
// and knows what the owners of each set report.
func (c *control) tryJoin() {
	if c.joined || !c.config.Ready() {
		return
	}
	if c.began == 0 {
		c.began = c.clock.Now()
	}
	if !c.locator.HoldingsKnown() && c.clock.Now()-c.began < joinLimit {
		return
	}
	c.joined = true
	c.join()
}

// presentNames lists the VMs of this data centre and of the others that keep
// the configuration: also joining ones, which wait for it.
func (c *control) presentNames() (local, remote []string) {
	for _, m := range c.members {
		if m.State() != tier.VMLive && m.State() != tier.VMJoining {
			continue
		}
		if m.DataCentre() == c.self.DataCentre() {
			local = append(local, m.Name())
		} else {
			remote = append(remote, m.Name())
		}
	}
	return local, remote
}

// ownersOf lists the owners of a set in this data centre.
func (c *control) ownersOf(s *tier.ShardSet) []tier.VM {
	if !hasServers(s, c.self.DataCentre()) {
		return nil
	}
	return picker.Owners(s.Name(), c.self.DataCentre(), c.members, locator.OwnerCount(s, c.self.DataCentre()))
}

func hasServers(s *tier.ShardSet, dataCentre string) bool {
	for _, d := range s.DataCentres() {
		if d == dataCentre {
			return true
		}
	}
	return false
}

// reread reads every report and index again after changes were dropped.
func (c *control) reread() {
	keys := make([]string, 0, 2*len(c.sets)+indexKeys)
	for _, s := range c.sets {
		keys = append(keys, setPrefix+s.Name(), admitPrefix+s.Name())
	}
	for i := range indexKeys {
		keys = append(keys, watcher.IndexKeyPrefix+strconv.Itoa(i))
	}
	for _, key := range c.announcementKeys() {
		if _, _, value, ok := c.gossip.Shared(key); ok {
			c.entry("", key, value)
		}
	}
	for _, key := range keys {
		for _, p := range c.gossip.Entries(key) {
			c.entry(p.VM().Name(), key, p.Value())
		}
	}
}

// PublishReport tells this VM and the others what the servers of a set hold.
func (c *control) PublishReport(set string, r owner.Report, index int) {
	c.locator.UpdateReport(set, c.self.Name(), r, true)
	value, err := r.Encode()
	c.publish(setPrefix+set, value, err)
	if index >= 0 && r.HasHoldings() {
		c.announce(set, r, index)
	}
}

// PublishThreshold tells this VM and the others a set's threshold of admission.
func (c *control) PublishThreshold(set string, t admitter.Threshold) {
	c.locator.UpdateThreshold(set, c.self.Name(), t)
	value, err := owner.EncodeThreshold(t)
	c.publish(admitPrefix+set, value, err)
}

// WithdrawReport takes back what an owner that ended published.
func (c *control) WithdrawReport(set string) {
	c.locator.UpdateReport(set, c.self.Name(), owner.Report{}, false)
	c.publish(setPrefix+set, nil, nil)
	c.PublishThreshold(set, admitter.AdmitAll())
}

// BackendChanged logs a change of a backend server's state.
func (c *control) BackendChanged(set, server string, s tier.BackendState, reason string) {
	c.logger.Info("backend", "set", set, "server", server, "state", s, "reason", reason)
}

// publish writes a value for the other VMs, unless it could not be encoded.
func (c *control) publish(key string, value []byte, err error) {
	if err == nil {
		err = c.gossip.Publish(key, value)
	}
	if err != nil {
		c.logger.Error("publish", "key", key, "error", err)
	}
}
