package deployer

import (
	"cicadagrade.example/standin/relay"
	"cicadagrade.example/tier"
)

// One-way delays of the links.
const (
	regionDelay = 20 * tier.Millis(1)
	storeDelay  = 1 * tier.Millis(1)
)

// maxLinkedVMs is how many VMs the ports of the links have room for.
const maxLinkedVMs = 10

// storePlace is the place of the store in the links' configuration.
const storePlace = "store"

// links joins each data centre with the store and with each VM of the other
// data centres, so that any two places can be cut from each other.
func (u user) links(d deploymentDocument) *relay.Relay {
	var out []*relay.Link
	add := func(from, to, name string, port int, target string, delay tier.Millis) {
		c := relay.NewCondition(relay.CutNone, delay, false)
		out = append(out, relay.NewLink(from+"-to-"+name, from, to, address(port), target, c))
	}
	for i, c := range u.dataCentres {
		add(c.Name, storePlace, storePlace, u.portBase+380+i, d.Store, storeDelay)
		for n, v := range d.VMs {
			if v.DataCentre != c.Name {
				add(c.Name, v.DataCentre, v.Name, u.portBase+400+10*i+n, v.Peer, regionDelay)
			}
		}
	}
	return relay.New(d.Links, out...)
}
