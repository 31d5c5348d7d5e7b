package deployer

import (
	"encoding/json"
	"fmt"
	"math/bits"

	"github.com/pkg/errors"

	"cicadagrade.example/standin/relay"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
)

// user describes one user's deployment in the terms of its sizes.
type user struct {
	name        string
	portBase    int
	apiPort     int // of the first VM, from portBase
	peerPort    int // of the first VM, from portBase
	dataCentres []dataCentreDocument
	vmCounts    []int
	profiles    []profilePlan
	sets        []setPlan
}

// profilePlan is what sets a profile apart from the defaults.
type profilePlan struct {
	name        string
	rank        tier.Rank
	minCoverage float64
	deadline    tier.Millis
	maxDeadline tier.Millis
	imposedWait tier.Millis
}

// setPlan is a set of paired servers (each shard has two of its own) or of
// shared ones (each holds many shards).
type setPlan struct {
	name        string
	shards      int
	perCentre   []int // servers, or shards of paired servers, by data centre
	paired      bool
	slots       int
	connections int
	cost        tier.Millis
}

func pairedPlan(name string, perCentre ...int) setPlan {
	p := setPlan{name: name, perCentre: perCentre, paired: true, slots: 2, connections: 25, cost: 6}
	for _, n := range perCentre {
		p.shards += n
	}
	return p
}

func sharedPlan(name string, shards int, perCentre []int, slots, connections int) setPlan {
	return setPlan{name: name, shards: shards, perCentre: perCentre, slots: slots, connections: connections, cost: 1}
}

// files gives the content of each of the user's files by its path.
func (u user) files() (map[string][]byte, error) {
	d := deploymentDocument{
		Name:        u.name,
		Seed:        recordSeed,
		Store:       address(u.portBase + 379),
		Control:     address(u.portBase + 200),
		DataCentres: u.dataCentres,
		VMs:         u.vms(),
		Profiles:    u.name + "/profiles.json",
	}
	profiles, err := u.profilesDocument()
	if err != nil {
		return nil, errors.Wrap(err, "user.files")
	}
	out := map[string][]byte{d.Profiles: parser.Encode(profiles)}
	for i, p := range u.sets {
		set, err := p.set(u.dataCentres, u.portBase+1000+100*i)
		if err != nil {
			return nil, errors.Wrap(err, "user.files")
		}
		path := u.name + "/set-" + p.name + ".json"
		d.Sets = append(d.Sets, path)
		out[path] = parser.Encode(parser.NewSetDocument(set))
		if i > 0 {
			continue
		}
		next, err := repartitioned(set)
		if err != nil {
			return nil, errors.Wrap(err, "user.files")
		}
		out[u.name+"/epoch-2-"+p.name+".json"] = parser.Encode(parser.NewSetDocument(next))
	}
	if len(d.VMs) <= maxLinkedVMs {
		d.Links = address(u.portBase + 300)
		if out[u.name+"/links.json"], err = relay.Encode(u.links(d)); err != nil {
			return nil, errors.Wrap(err, "user.files")
		}
	}
	out[u.name+".json"], err = json.Marshal(d)
	return out, err
}

// profilesDocument leaves hedging off for reports, which may wait.
func (u user) profilesDocument() (*parser.ProfilesDocument, error) {
	var list []*tier.Profile
	for _, p := range u.profiles {
		profile, err := tier.NewProfile(
			p.name,
			tier.WithRank(p.rank),
			tier.WithMinCoverage(p.minCoverage),
			tier.WithDeadline(p.deadline),
			tier.WithMaxDeadline(p.maxDeadline),
			tier.WithImposedWait(p.imposedWait),
			tier.WithHedge(p.rank != tier.Reports),
		)
		if err != nil {
			return nil, err
		}
		list = append(list, profile)
	}
	return parser.NewProfilesDocument(list...), nil
}

func (u user) vms() []vmDocument {
	var out []vmDocument
	for i, c := range u.dataCentres {
		for n := range u.vmCounts[i] {
			out = append(out, vmDocument{
				Name:       fmt.Sprintf("%s-%d", c.Name, n+1),
				DataCentre: c.Name,
				API:        address(u.portBase + u.apiPort + len(out)),
				Peer:       address(u.portBase + u.peerPort + len(out)),
			})
		}
	}
	return out
}

// set numbers the servers' ports from port on.
func (p setPlan) set(centres []dataCentreDocument, port int) (*tier.ShardSet, error) {
	var servers []tier.Backend
	for i, c := range centres {
		for range p.perCentre[i] {
			servers = p.addServers(servers, c.Name, port)
		}
	}
	var shards []tier.Shard
	for i := range p.shards {
		shards = append(shards, p.shard(i, servers))
	}
	return tier.NewShardSet(p.name, tier.WithServers(servers...), tier.WithShards(shards...))
}

// addServers adds the two servers of a paired shard, or one shared server.
func (p setPlan) addServers(servers []tier.Backend, centre string, port int) []tier.Backend {
	if !p.paired {
		name := fmt.Sprintf("%s-%d", p.name, len(servers)+1)
		return append(servers, p.server(name, centre, port+len(servers)))
	}
	shard := len(servers)/2 + 1
	for _, letter := range []string{"a", "b"} {
		name := fmt.Sprintf("%s-%02d-%s", p.name, shard, letter)
		servers = append(servers, p.server(name, centre, port+len(servers)))
	}
	return servers
}

func (p setPlan) server(name, centre string, port int) tier.Backend {
	return tier.NewBackend(
		name, address(port), centre,
		tier.WithSlots(p.slots),
		tier.WithConnections(p.connections),
		tier.WithConnectionCost(p.cost),
	)
}

// shard takes the i-th of equal parts of the hash ring.
func (p setPlan) shard(i int, servers []tier.Backend) tier.Shard {
	last := ^uint64(0)
	if i+1 < p.shards {
		last = part(i+1, p.shards) - 1
	}
	id := fmt.Sprintf("%s-%02d", p.name, i+1)
	return tier.NewShard(id, part(i, p.shards), last, p.replicas(i, servers)...)
}

// replicas of a shared set lie in two data centres; the second replica moves
// on by one server in each round, so that no pair of servers shares more
// shards than another.
func (p setPlan) replicas(i int, servers []tier.Backend) []string {
	if p.paired {
		return []string{servers[2*i].Name(), servers[2*i+1].Name()}
	}
	first := servers[i%len(servers)]
	step := p.perCentre[0] + i/len(servers)
	second := servers[(i+step)%len(servers)]
	return []string{first.Name(), second.Name()}
}

// part is the i-th of n equal parts of 2^64.
func part(i, n int) uint64 {
	q, _ := bits.Div64(uint64(i), 0, uint64(n))
	return q
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
