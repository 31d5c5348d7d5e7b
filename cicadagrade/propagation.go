package main

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadagrade.example/cicadagrade/requester"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/replicator"
)

const (
	vmTimeout            = 2 * tier.Second
	pollInterval         = 100 * tier.Millis(1)
	maxConcurrentQueries = 32
)

// vmConfiguration is what one VM reports about itself and its configuration, or err.
type vmConfiguration struct {
	address     string
	name        string
	peerAddress string
	knownVMs    []string // names of the members that it knows, except dead ones
	refs        map[string]replicator.Ref
	err         error
}

// label returns the VM's name, or its address if the name is unknown.
func (v vmConfiguration) label() string {
	if v.name == "" {
		return v.address
	}
	return v.name
}

func (v vmConfiguration) ref(key string) replicator.Ref {
	if r, ok := v.refs[key]; ok {
		return r
	}
	return replicator.NewRef(key, 0, 0, "")
}

// vmStatusBody holds the fields of GET /v1/status that these commands read.
type vmStatusBody struct {
	VM      string `json:"vm"`
	Members []struct {
		VM      string `json:"vm"`
		Address string `json:"address"`
		State   string `json:"state"`
	} `json:"members"`
	Configuration []refBody `json:"configuration"`
}

// queryVMs reads the status of all VMs of --vms concurrently.
func (dc *documentCommand) queryVMs(ctx context.Context) []vmConfiguration {
	var addresses []string
	for _, a := range strings.Split(dc.vms, ",") {
		if a = strings.TrimSpace(a); a != "" {
			addresses = append(addresses, a)
		}
	}
	out := make([]vmConfiguration, len(addresses))
	var g errgroup.Group
	g.SetLimit(maxConcurrentQueries)
	for i, a := range addresses {
		g.Go(func() error {
			out[i] = queryVM(ctx, a)
			return nil
		})
	}
	_ = g.Wait()
	return out
}

func queryVM(ctx context.Context, address string) vmConfiguration {
	ctx, cancel := withTimeout(ctx, vmTimeout)
	defer cancel()
	v := vmConfiguration{address: address, refs: map[string]replicator.Ref{}}
	var body vmStatusBody
	response, err := requester.New(address).Get(ctx, "/v1/status")
	if err == nil {
		err = response.Decode(&body)
	}
	if err != nil {
		v.err = err
		return v
	}
	v.name = body.VM
	for _, m := range body.Members {
		if m.VM == body.VM {
			v.peerAddress = m.Address
		}
		if m.State != tier.VMDead.String() {
			v.knownVMs = append(v.knownVMs, m.VM)
		}
	}
	for _, r := range body.Configuration {
		v.refs[r.Key] = r.ref()
	}
	return v
}

// propagation lists on which VMs a change is in force.
type propagation struct {
	Asked      int      `json:"asked"`
	InForce    []string `json:"in-force"`
	Behind     []string `json:"behind"`
	NotReached []string `json:"not-reached"`
	// NotAsked are the members that the VMs know but that are not in --vms.
	NotAsked []string `json:"not-asked"`
}

// waitInForce polls the VMs until the state, or a newer one, is in force on all of them, or
// until the time limit.
func (dc *documentCommand) waitInForce(ctx context.Context, ref replicator.Ref, limit tier.Millis) *propagation {
	end := dc.clock.Now() + limit
	for {
		p := newPropagation(dc.queryVMs(ctx), ref)
		if len(p.InForce) == p.Asked || dc.clock.Now() >= end {
			return p
		}
		select {
		case <-ctx.Done():
			return p
		case <-time.After(pollInterval.Duration()):
		}
	}
}

// newPropagation sorts the VMs by whether the state ref, or a newer one, is in force on them.
func newPropagation(configurations []vmConfiguration, ref replicator.Ref) *propagation {
	p := &propagation{Asked: len(configurations), InForce: []string{}, Behind: []string{}, NotReached: []string{}, NotAsked: []string{}}
	asked, known := map[string]bool{}, map[string]bool{}
	for _, v := range configurations {
		asked[v.name] = true
		for _, name := range v.knownVMs {
			known[name] = true
		}
		switch r := v.ref(ref.Key()); {
		case v.err != nil:
			p.NotReached = append(p.NotReached, v.label())
		case r == ref || r.NewerThan(ref):
			p.InForce = append(p.InForce, v.label())
		default:
			p.Behind = append(p.Behind, v.label())
		}
	}
	for name := range known {
		if !asked[name] {
			p.NotAsked = append(p.NotAsked, name)
		}
	}
	sort.Strings(p.NotAsked)
	return p
}

func (p *propagation) print(w io.Writer) {
	if p == nil {
		return
	}
	fmt.Fprintf(w, "in force on %d of %d VMs\t%s\n", len(p.InForce), p.Asked, strings.Join(p.InForce, " "))
	for _, l := range []struct {
		label string
		names []string
	}{{"behind", p.Behind}, {"not reached", p.NotReached}, {"not asked", p.NotAsked}} {
		if len(l.names) > 0 {
			fmt.Fprintf(w, "%s\t%s\n", l.label, strings.Join(l.names, " "))
		}
	}
}
