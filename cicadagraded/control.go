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

// Intervals, sizes and gossip keys of the control loop.
const (
	changeBufferSize = 4096
	controlInterval  = 100 * time.Millisecond
	// reportKeyPrefix is the prefix of the gossip key of an owner's report; the set's name
	// follows.
	reportKeyPrefix = "set/"
	// thresholdKeyPrefix is the prefix of the gossip key of an owner's admission threshold.
	thresholdKeyPrefix = "admit/"
	// rereadIndexKeys is the number of configuration index keys that rereadEntries reads.
	rereadIndexKeys = 128
)

// control keeps the locator and the owners on this VM up to date with gossip and the
// configuration.
type control struct {
	self           tier.VM
	logger         *log.Logger
	gossip         *exchanger.Exchanger
	changes        *queue.Queue[gossiper.Action]
	config         *watcher.Watcher
	locator        *locator.Locator
	registry       *owner.Registry
	members        []tier.VM
	sets           []*tier.ShardSet
	droppedChanges uint64
	replacedBy     *queue.Queue[tier.VM]
	joined         bool
	joinWaitStart  tier.Millis
	clock          *tier.Clock
	onJoin         func()
}

// Run handles gossip changes and syncs periodically until ctx ends.
func (c *control) Run(ctx context.Context) error {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case action := <-c.changes.Chan():
			c.onGossipChange(action)
		case <-ticker.C:
			if err := c.sync(ctx); err != nil {
				return errors.Wrap(err, "control.Run")
			}
		}
	}
}

// onGossipChange handles a member or an entry that gossip has changed.
func (c *control) onGossipChange(action gossiper.Action) {
	switch a := action.(type) {
	case *gossiper.MemberChanged:
		vm := a.VM()
		c.logger.Info("member", "vm", vm.Name(), "data-centre", vm.DataCentre(), "incarnation", vm.Incarnation(), "state", vm.State())
	case *gossiper.EntryChanged:
		c.onEntry(a.Origin(), a.Key(), a.Value())
	}
}

// onEntry handles a gossip entry that another VM has published.
func (c *control) onEntry(origin, key string, value []byte) {
	if strings.HasPrefix(key, watcher.IndexKeyPrefix) {
		if err := c.config.OnIndexEntry(origin, key, value); err != nil {
			c.logger.Warn("index", "vm", origin, "error", err)
		}
		return
	}
	if name, ok := strings.CutPrefix(key, ownerKeyPrefix); ok {
		c.onAnnouncement(name, value)
	}
	if set, ok := strings.CutPrefix(key, thresholdKeyPrefix); ok {
		c.onThreshold(origin, set, value)
	}
	if set, ok := strings.CutPrefix(key, reportKeyPrefix); ok {
		c.onReport(origin, set, value)
	}
}

// onThreshold records an owner's admission threshold.
func (c *control) onThreshold(origin, set string, value []byte) {
	t, err := owner.DecodeThreshold(value)
	if err != nil {
		c.logger.Warn("threshold", "vm", origin, "set", set, "error", err)
	}
	c.locator.UpdateThreshold(set, origin, t)
}

// onReport records what an owner's backend servers hold. An empty value withdraws the report.
func (c *control) onReport(origin, set string, value []byte) {
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

// sync passes the current members and sets to the locator, the configuration watcher and the
// owner registry.
func (c *control) sync(ctx context.Context) error {
	if dropped := c.gossip.DroppedChanges(); dropped != c.droppedChanges {
		c.droppedChanges = dropped
		c.rereadEntries()
	}
	if vm, ok := c.gossip.ReplacedBy(); ok {
		c.replacedBy.TryPush(vm)
	}
	c.members = c.gossip.Members()
	c.sets = c.config.Sets()
	c.config.OnMembers(c.liveOrJoiningNames())
	c.locator.Update(c.sets, c.members, c.gossip.Reachable)
	if !c.gossip.Fresh() {
		return nil
	}
	c.tryJoin()
	return c.registry.Sync(ctx, c.sets, c.ownersOf)
}

// maxJoinWait is how long a VM waits for the owners' reports before it joins without them.
// There may be no owner that reports.
const maxJoinWait = 5 * tier.Second

// tryJoin makes the VM join once it has a configuration, and the reports of each set's owners
// or maxJoinWait has passed without them. sync calls it only after gossip has heard from
// peers.
func (c *control) tryJoin() {
	if c.joined || !c.config.Ready() {
		return
	}
	if c.joinWaitStart == 0 {
		c.joinWaitStart = c.clock.Now()
	}
	if !c.locator.HoldingsKnown() && c.clock.Now()-c.joinWaitStart < maxJoinWait {
		return
	}
	c.joined = true
	c.onJoin()
}

// liveOrJoiningNames lists the VMs that replicate the configuration, in this data centre and
// in others. Joining VMs are included because they wait for the configuration.
func (c *control) liveOrJoiningNames() (local, remote []string) {
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

// ownersOf lists the VMs that own a set in this data centre, none if the set has no servers
// here.
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

// rereadEntries reads all owner, report, threshold and index entries from gossip after changes
// were dropped.
func (c *control) rereadEntries() {
	keys := make([]string, 0, 2*len(c.sets)+rereadIndexKeys)
	for _, s := range c.sets {
		keys = append(keys, reportKeyPrefix+s.Name(), thresholdKeyPrefix+s.Name())
	}
	for i := range rereadIndexKeys {
		keys = append(keys, watcher.IndexKeyPrefix+strconv.Itoa(i))
	}
	for _, key := range c.announcementKeys() {
		if _, _, value, ok := c.gossip.Shared(key); ok {
			c.onEntry("", key, value)
		}
	}
	for _, key := range keys {
		for _, p := range c.gossip.Entries(key) {
			c.onEntry(p.VM().Name(), key, p.Value())
		}
	}
}

// PublishReport publishes what the backend servers of a set hold, to the local locator and to
// other VMs.
func (c *control) PublishReport(set string, r owner.Report, index int) {
	c.locator.UpdateReport(set, c.self.Name(), r, true)
	value, err := r.Encode()
	c.publish(reportKeyPrefix+set, value, err)
	if index >= 0 && r.HasHoldings() {
		c.announceOwner(set, r, index)
	}
}

// PublishThreshold publishes a set's admission threshold, to the local locator and to other
// VMs.
func (c *control) PublishThreshold(set string, t admitter.Threshold) {
	c.locator.UpdateThreshold(set, c.self.Name(), t)
	value, err := owner.EncodeThreshold(t)
	c.publish(thresholdKeyPrefix+set, value, err)
}

// WithdrawReport removes what an owner published, once it has ended.
func (c *control) WithdrawReport(set string) {
	c.locator.UpdateReport(set, c.self.Name(), owner.Report{}, false)
	c.publish(reportKeyPrefix+set, nil, nil)
	c.PublishThreshold(set, admitter.AdmitAll())
}

// BackendChanged logs a state change of a backend server.
func (c *control) BackendChanged(set, server string, s tier.BackendState, reason string) {
	c.logger.Info("backend", "set", set, "server", server, "state", s, "reason", reason)
}

// publish publishes a gossip entry of this VM. err is the error of encoding its value. Either
// error is logged.
func (c *control) publish(key string, value []byte, err error) {
	if err == nil {
		err = c.gossip.Publish(key, value)
	}
	if err != nil {
		c.logger.Error("publish", "key", key, "error", err)
	}
}
