package main

import (
	"fmt"
	"strconv"
	"strings"

	"cicadagrade.example/cicadagraded/locator"
	"cicadagrade.example/cicadagraded/owner"
)

// ownerKeyPrefix is the prefix of the gossip keys under which the owners of a shard set
// announce themselves to VMs of other data centres. A VM knows only a few members of another
// data centre, so it can't work out which of them is the owner.
const ownerKeyPrefix = "owner/"

// ownerKey returns the gossip key of the index-th owner of a set in a data centre.
func ownerKey(set, dataCentre string, index int) string {
	return fmt.Sprintf("%s%s/%s/%d", ownerKeyPrefix, set, dataCentre, index)
}

// announceOwner publishes to VMs of other data centres that this VM owns the set in its own
// data centre. An announcement replaces the previous one, whichever VM published that.
func (c *control) announceOwner(set string, r owner.Report, index int) {
	key := ownerKey(set, c.self.DataCentre(), index)
	value, err := owner.EncodeAnnouncement(c.gossip.Self(), r)
	if err == nil {
		_, lastVersion, _, _ := c.gossip.Shared(key)
		err = c.gossip.Announce(key, uint64(r.Epoch()), max(lastVersion+1, uint64(c.clock.WallTime())), value)
	}
	if err != nil {
		c.logger.Error("announce", "key", key, "error", err)
	}
}

// onAnnouncement records the owner of a set in another data centre. The key has no
// ownerKeyPrefix.
func (c *control) onAnnouncement(key string, value []byte) {
	parts := strings.Split(key, "/")
	if len(parts) != 3 || parts[1] == c.self.DataCentre() {
		return
	}
	index, err := strconv.Atoi(parts[2])
	if err != nil {
		return
	}
	vm, r, err := owner.DecodeAnnouncement(parts[1], value)
	if err != nil {
		c.logger.Warn("announcement", "key", key, "error", err)
		return
	}
	c.locator.UpdateRemoteOwner(parts[0], index, vm, r)
}

// announcementKeys lists the gossip keys of all owners of all sets.
func (c *control) announcementKeys() []string {
	var keys []string
	for _, s := range c.sets {
		for _, d := range s.DataCentres() {
			for i := range locator.OwnerCount(s, d) {
				keys = append(keys, ownerKey(s.Name(), d, i))
			}
		}
	}
	return keys
}
