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

// deploymentPlan holds the sizes and settings from which the files of a deployment are
// generated.
type deploymentPlan struct {
	name        string
	portBase    int
	apiPort     int // API port of the first VM, relative to portBase
	peerPort    int // peer port of the first VM, relative to portBase
	dataCentres []dataCentreDocument
	vmCounts    []int
	profiles    []profilePlan
	sets        []setPlan
}

// profilePlan holds the settings of a profile that differ from the defaults.
type profilePlan struct {
	name        string
	rank        tier.Rank
	minCoverage float64
	deadline    tier.Millis
	maxDeadline tier.Millis
	imposedWait tier.Millis
}

// setPlan describes a shard set. Its servers are either paired (each shard has two
// servers of its own) or shared (each server holds many shards).
type setPlan struct {
	name           string
	shards         int
	perDataCentre  []int // number per data centre of servers, or of shards if paired
	paired         bool
	slots          int
	connections    int
	connectionCost tier.Millis
}

func pairedPlan(name string, perDataCentre ...int) setPlan {
	p := setPlan{name: name, perDataCentre: perDataCentre, paired: true, slots: 2, connections: 25, connectionCost: 6}
	for _, n := range perDataCentre {
		p.shards += n
	}
	return p
}

func sharedPlan(name string, shards int, perDataCentre []int, slots, connections int) setPlan {
	return setPlan{name: name, shards: shards, perDataCentre: perDataCentre, slots: slots, connections: connections, connectionCost: 1}
}

// files returns the contents of the deployment's files by path.
func (p deploymentPlan) files() (map[string][]byte, error) {
	d := deploymentDocument{
		Name:        p.name,
		Seed:        recordSeed,
		Store:       loopbackAddress(p.portBase + 379),
		Control:     loopbackAddress(p.portBase + 200),
		DataCentres: p.dataCentres,
		VMs:         p.vms(),
		Profiles:    p.name + "/profiles.json",
	}
	profiles, err := p.profilesDocument()
	if err != nil {
		return nil, errors.Wrap(err, "user.files")
	}
	out := map[string][]byte{d.Profiles: parser.Encode(profiles)}
	for i, s := range p.sets {
		set, err := s.newShardSet(p.dataCentres, p.portBase+1000+100*i)
		if err != nil {
			return nil, errors.Wrap(err, "user.files")
		}
		path := p.name + "/set-" + s.name + ".json"
		d.Sets = append(d.Sets, path)
		out[path] = parser.Encode(parser.NewSetDocument(set))
		if i > 0 {
			continue
		}
		next, err := repartition(set)
		if err != nil {
			return nil, errors.Wrap(err, "user.files")
		}
		out[p.name+"/epoch-2-"+s.name+".json"] = parser.Encode(parser.NewSetDocument(next))
	}
	if len(d.VMs) <= maxLinkedVMs {
		d.Links = loopbackAddress(p.portBase + 300)
		if out[p.name+"/links.json"], err = relay.Encode(p.buildLinks(d)); err != nil {
			return nil, errors.Wrap(err, "user.files")
		}
	}
	out[p.name+".json"], err = json.Marshal(d)
	return out, err
}

// profilesDocument enables hedging for all profiles but those of rank reports, whose
// searches may wait.
func (p deploymentPlan) profilesDocument() (*parser.ProfilesDocument, error) {
	var list []*tier.Profile
	for _, x := range p.profiles {
		profile, err := tier.NewProfile(
			x.name,
			tier.WithRank(x.rank),
			tier.WithMinCoverage(x.minCoverage),
			tier.WithDeadline(x.deadline),
			tier.WithMaxDeadline(x.maxDeadline),
			tier.WithImposedWait(x.imposedWait),
			tier.WithHedge(x.rank != tier.Reports),
		)
		if err != nil {
			return nil, err
		}
		list = append(list, profile)
	}
	return parser.NewProfilesDocument(list...), nil
}

func (p deploymentPlan) vms() []vmDocument {
	var out []vmDocument
	for i, c := range p.dataCentres {
		for n := range p.vmCounts[i] {
			out = append(out, vmDocument{
				Name:       fmt.Sprintf("%s-%d", c.Name, n+1),
				DataCentre: c.Name,
				API:        loopbackAddress(p.portBase + p.apiPort + len(out)),
				Peer:       loopbackAddress(p.portBase + p.peerPort + len(out)),
			})
		}
	}
	return out
}

// newShardSet returns the shard set. The ports of its servers are consecutive, starting
// at port.
func (p setPlan) newShardSet(dataCentres []dataCentreDocument, port int) (*tier.ShardSet, error) {
	var servers []tier.Backend
	for i, c := range dataCentres {
		for range p.perDataCentre[i] {
			servers = p.addServers(servers, c.Name, port)
		}
	}
	var shards []tier.Shard
	for i := range p.shards {
		shards = append(shards, p.newShard(i, servers))
	}
	return tier.NewShardSet(p.name, tier.WithServers(servers...), tier.WithShards(shards...))
}

// addServers appends the two servers of a paired shard, or one shared server.
func (p setPlan) addServers(servers []tier.Backend, dataCentre string, port int) []tier.Backend {
	if !p.paired {
		name := fmt.Sprintf("%s-%d", p.name, len(servers)+1)
		return append(servers, p.newServer(name, dataCentre, port+len(servers)))
	}
	number := len(servers)/2 + 1
	for _, letter := range []string{"a", "b"} {
		name := fmt.Sprintf("%s-%02d-%s", p.name, number, letter)
		servers = append(servers, p.newServer(name, dataCentre, port+len(servers)))
	}
	return servers
}

func (p setPlan) newServer(name, dataCentre string, port int) tier.Backend {
	return tier.NewBackend(
		name, loopbackAddress(port), dataCentre,
		tier.WithSlots(p.slots),
		tier.WithConnections(p.connections),
		tier.WithConnectionCost(p.connectionCost),
	)
}

// newShard returns shard i, which covers the i-th of equal ranges of the hash ring.
func (p setPlan) newShard(i int, servers []tier.Backend) tier.Shard {
	last := ^uint64(0)
	if i+1 < p.shards {
		last = ringPosition(i+1, p.shards) - 1
	}
	id := fmt.Sprintf("%s-%02d", p.name, i+1)
	return tier.NewShard(id, ringPosition(i, p.shards), last, p.replicas(i, servers)...)
}

// replicas returns the names of the servers of shard i. The replicas of a shared set
// are in different data centres. On each round over the servers the second replica is
// offset by one more server, so that no pair of servers shares more shards than another
// pair.
func (p setPlan) replicas(i int, servers []tier.Backend) []string {
	if p.paired {
		return []string{servers[2*i].Name(), servers[2*i+1].Name()}
	}
	first := servers[i%len(servers)]
	offset := p.perDataCentre[0] + i/len(servers)
	second := servers[(i+offset)%len(servers)]
	return []string{first.Name(), second.Name()}
}

// ringPosition returns the start of the i-th of n equal ranges of the hash ring, whose
// positions are 0 to 2^64 - 1.
func ringPosition(i, n int) uint64 {
	q, _ := bits.Div64(uint64(i), 0, uint64(n))
	return q
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
