package deployer

import (
	"fmt"
	"math/bits"

	"cicadagrade.example/tier"
)

const recordSeed = 20261204

// user describes one user's deployment in the terms of its sizes.
type user struct {
	name        string
	portBase    int
	dataCentres []dataCentreDocument
	vmCounts    []int
	profiles    []profileDocument
	sets        []setPlan
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

func users() []user { return []user{associacao(), zorin()} }

func associacao() user {
	return user{
		name:     "associacao",
		portBase: 21000,
		dataCentres: []dataCentreDocument{
			{Name: "serra-caxias", Region: "serra"},
			{Name: "litoral-itajai", Region: "litoral"},
			{Name: "oeste-chapeco", Region: "oeste"},
		},
		vmCounts: []int{3, 2, 2},
		profiles: []profileDocument{
			profile("gate", tier.Urgent, 1, 400, 2*tier.Second, 500),
			profile("certificate", tier.Urgent, 1, 2*tier.Second, 5*tier.Second, 500),
			profile("daily", tier.Daily, 0.9, 1*tier.Second, 10*tier.Second, 100),
			profile("reports", tier.Reports, 0.95, 10*tier.Second, tier.Minute, 20),
		},
		sets: []setPlan{
			pairedPlan("portao", 20, 0, 0),
			pairedPlan("agenda", 10, 10, 10),
			sharedPlan("contas", 14, []int{3, 2, 2}, 4, 100),
			sharedPlan("frota", 6, []int{1, 1, 1}, 4, 100),
		},
	}
}

func zorin() user {
	return user{
		name:     "zorin",
		portBase: 25000,
		dataCentres: []dataCentreDocument{
			{Name: "rogaska-a", Region: "rogaska"},
			{Name: "ljubljana-b", Region: "ljubljana"},
			{Name: "ravne-c", Region: "ravne"},
		},
		vmCounts: []int{3, 2, 2},
		profiles: []profileDocument{
			profile("bench", tier.Urgent, 1, 400, 2*tier.Second, 500),
			profile("colour", tier.Urgent, 1, 600, 2*tier.Second, 500),
			profile("dispatch", tier.Daily, 1, 1*tier.Second, 10*tier.Second, 100),
			profile("order", tier.Daily, 1, 2*tier.Second, 10*tier.Second, 100),
			profile("reports", tier.Reports, 1, 10*tier.Second, tier.Minute, 20),
		},
		sets: []setPlan{
			pairedPlan("pec-recepture", 20, 0, 0),
			pairedPlan("lomni-dnevnik", 10, 10, 10),
			sharedPlan("narocila", 6, []int{1, 1, 1}, 6, 50),
			sharedPlan("odprema", 6, []int{1, 1, 1}, 6, 50),
		},
	}
}

// profile leaves hedging off for reports, which may wait.
func profile(name string, r tier.Rank, coverage float64, deadline, maxDeadline, wait tier.Millis) profileDocument {
	return profileDocument{
		Name:        name,
		Rank:        r,
		MinCoverage: coverage,
		Deadline:    deadline,
		MaxDeadline: maxDeadline,
		ImposedWait: wait,
		QueueLimit:  tier.DefaultQueueLimit,
		Hedge:       r != tier.Reports,
	}
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

// documents gives each of the user's files by its path.
func (u user) documents() map[string]any {
	d := deploymentDocument{
		Name:        u.name,
		Seed:        recordSeed,
		Store:       address(u.portBase + 379),
		Control:     address(u.portBase + 200),
		DataCentres: u.dataCentres,
		VMs:         u.vms(),
		Profiles:    u.name + "/profiles.json",
	}
	out := map[string]any{d.Profiles: profilesDocument{Profiles: u.profiles}}
	for i, p := range u.sets {
		path := u.name + "/set-" + p.name + ".json"
		d.Sets = append(d.Sets, path)
		out[path] = p.document(u.dataCentres, u.portBase+1000+100*i)
	}
	out[u.name+".json"] = d
	return out
}

func (u user) vms() []vmDocument {
	var out []vmDocument
	for i, c := range u.dataCentres {
		for n := range u.vmCounts[i] {
			out = append(out, vmDocument{
				Name:       fmt.Sprintf("%s-%d", c.Name, n+1),
				DataCentre: c.Name,
				API:        address(u.portBase + len(out) + 1),
				Peer:       address(u.portBase + 100 + len(out) + 1),
			})
		}
	}
	return out
}

func (p setPlan) document(centres []dataCentreDocument, port int) setDocument {
	d := setDocument{
		Name:          p.name,
		Epoch:         1,
		DailyFloor:    tier.DefaultDailyFloor,
		ReportsFloor:  tier.DefaultReportsFloor,
		ReportsShare:  tier.DefaultReportsShare,
		HedgeQuantile: tier.DefaultHedgeQuantile,
		HedgeBudget:   tier.DefaultHedgeBudget,
		ColdRamp:      tier.DefaultColdRamp,
		Owners:        tier.DefaultOwners,
	}
	for i, c := range centres {
		for range p.perCentre[i] {
			p.addServers(&d, c.Name, port)
		}
	}
	for i := range p.shards {
		d.Shards = append(d.Shards, p.shard(i, d.Servers))
	}
	return d
}

// addServers adds the two servers of a paired shard, or one shared server.
func (p setPlan) addServers(d *setDocument, centre string, port int) {
	if !p.paired {
		d.Servers = append(d.Servers, p.server(fmt.Sprintf("%s-%d", p.name, len(d.Servers)+1), centre, port+len(d.Servers)))
		return
	}
	shard := len(d.Servers)/2 + 1
	for _, letter := range []string{"a", "b"} {
		d.Servers = append(d.Servers, p.server(fmt.Sprintf("%s-%02d-%s", p.name, shard, letter), centre, port+len(d.Servers)))
	}
}

func (p setPlan) server(name, centre string, port int) serverDocument {
	return serverDocument{
		Name:           name,
		Address:        address(port),
		DataCentre:     centre,
		Slots:          p.slots,
		Connections:    p.connections,
		ConnectionCost: p.cost,
	}
}

// shard takes the i-th of equal parts of the hash ring.
func (p setPlan) shard(i int, servers []serverDocument) shardDocument {
	last := ^uint64(0)
	if i+1 < p.shards {
		last = part(i+1, p.shards) - 1
	}
	return shardDocument{
		ID:       fmt.Sprintf("%s-%02d", p.name, i+1),
		From:     hashText(part(i, p.shards)),
		To:       hashText(last),
		Replicas: p.replicas(i, servers),
	}
}

// replicas of a shared set lie in two data centres; the second replica moves
// on by one server in each round, so that no pair of servers shares more
// shards than another.
func (p setPlan) replicas(i int, servers []serverDocument) []string {
	if p.paired {
		return []string{servers[2*i].Name, servers[2*i+1].Name}
	}
	first := servers[i%len(servers)]
	step := p.perCentre[0] + i/len(servers)
	second := servers[(i+step)%len(servers)]
	return []string{first.Name, second.Name}
}

// part is the i-th of n equal parts of 2^64.
func part(i, n int) uint64 {
	q, _ := bits.Div64(uint64(i), 0, uint64(n))
	return q
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
