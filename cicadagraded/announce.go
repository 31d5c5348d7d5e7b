package main

import (
	"fmt"
	"strconv"
	"strings"

	"cicadagrade.example/cicadagraded/locator"
	"cicadagrade.example/cicadagraded/owner"
)

// ownerPrefix starts the key under which the owner of a set in a data centre
// announces itself to all VMs. A VM knows only few members of another data
// centre, so that it can't pick the owner there itself.
const ownerPrefix = "owner/"

// ownerKey is the key of the index-th owner of a set in a data centre.
func ownerKey(set, dataCentre string, index int) string {
	return fmt.Sprintf("%s%s/%s/%d", ownerPrefix, set, dataCentre, index)
}

// announce tells VMs of other data centres who owns the set here. Each
// announcement takes the place of the one before, whoever made it.
func (c *control) announce(set string, r owner.Report, index int) {
	key := ownerKey(set, c.self.DataCentre(), index)
	value, err := owner.EncodeAnnouncement(c.gossip.Self(), r)
	if err == nil {
		_, last, _, _ := c.gossip.Shared(key)
		err = c.gossip.Announce(key, uint64(r.Epoch()), max(last+1, uint64(c.clock.WallTime())), value)
	}
	if err != nil {
		c.logger.Error("announce", "key", key, "error", err)
	}
}

// announced notes the owner of a set in another data centre.
func (c *control) announced(key string, value []byte) {
	w := strings.Split(key, "/")
	if len(w) != 3 || w[1] == c.self.DataCentre() {
		return
	}
	index, err := strconv.Atoi(w[2])
	if err != nil {
		return
	}
	vm, r, err := owner.DecodeAnnouncement(w[1], value)
	if err != nil {
		c.logger.Warn("announcement", "key", key, "error", err)
		return
	}
	c.locator.UpdateRemoteOwner(w[0], index, vm, r)
}

// announcementKeys lists the keys of the owners of all sets.
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
