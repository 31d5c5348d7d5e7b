package deployer

import (
	"cicadagrade.example/standin/relay"
	"cicadagrade.example/tier"
)

// One-way delays of the links.
const (
	interRegionDelay = 20 * tier.Millis(1)
	storeDelay       = 1 * tier.Millis(1)
)

// maxLinkedVMs is the number of VMs for which the port range of the links has room.
const maxLinkedVMs = 10

// storeEndpoint is the name of the store as an endpoint of links.
const storeEndpoint = "store"

// buildLinks connects each data centre to the store and to each VM of the other data
// centres, so that any two of these can be cut off from each other.
func (p deploymentPlan) buildLinks(d deploymentDocument) *relay.Relay {
	var out []*relay.Link
	add := func(from, to, name string, port int, target string, delay tier.Millis) {
		c := relay.NewCondition(relay.CutNone, delay, false)
		out = append(out, relay.NewLink(from+"-to-"+name, from, to, loopbackAddress(port), target, c))
	}
	for i, c := range p.dataCentres {
		add(c.Name, storeEndpoint, storeEndpoint, p.portBase+380+i, d.Store, storeDelay)
		for n, v := range d.VMs {
			if v.DataCentre != c.Name {
				add(c.Name, v.DataCentre, v.Name, p.portBase+400+10*i+n, v.Peer, interRegionDelay)
			}
		}
	}
	return relay.New(d.Links, out...)
}
