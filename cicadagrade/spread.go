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
	vmTimeout = 2 * tier.Second
	pollEvery = 100 * tier.Millis(1)
	maxAsked  = 32 // VMs asked at once
)

// vmView is what one VM says of its configuration.
type vmView struct {
	address string
	name    string
	peer    string
	known   []string // the VMs that it knows
	refs    map[string]replicator.Ref
	err     error
}

// label names the VM, by its address until it has told its name.
func (v vmView) label() string {
	if v.name == "" {
		return v.address
	}
	return v.name
}

func (v vmView) ref(key string) replicator.Ref {
	if r, ok := v.refs[key]; ok {
		return r
	}
	return replicator.NewRef(key, 0, 0, "")
}

// vmStatusBody is what these commands read of GET /v1/status.
type vmStatusBody struct {
	VM      string `json:"vm"`
	Members []struct {
		VM      string `json:"vm"`
		Address string `json:"address"`
		State   string `json:"state"`
	} `json:"members"`
	Configuration []refBody `json:"configuration"`
}

// ask asks each VM of --vms.
func (o *configurer) ask(ctx context.Context) []vmView {
	var addresses []string
	for _, a := range strings.Split(o.vms, ",") {
		if a = strings.TrimSpace(a); a != "" {
			addresses = append(addresses, a)
		}
	}
	out := make([]vmView, len(addresses))
	var g errgroup.Group
	g.SetLimit(maxAsked)
	for i, a := range addresses {
		g.Go(func() error {
			out[i] = askVM(ctx, a)
			return nil
		})
	}
	_ = g.Wait()
	return out
}

func askVM(ctx context.Context, address string) vmView {
	ctx, cancel := withTimeout(ctx, vmTimeout)
	defer cancel()
	v := vmView{address: address, refs: map[string]replicator.Ref{}}
	var body vmStatusBody
	a, err := requester.New(address).Get(ctx, "/v1/status")
	if err == nil {
		err = a.Decode(&body)
	}
	if err != nil {
		v.err = err
		return v
	}
	v.name = body.VM
	for _, m := range body.Members {
		if m.VM == body.VM {
			v.peer = m.Address
		}
		if m.State != tier.VMDead.String() {
			v.known = append(v.known, m.VM)
		}
	}
	for _, r := range body.Configuration {
		v.refs[r.Key] = r.ref()
	}
	return v
}

// spreadOut says where a change is in force.
type spreadOut struct {
	Asked      int      `json:"asked"`
	InForce    []string `json:"in-force"`
	Behind     []string `json:"behind"`
	NotReached []string `json:"not-reached"`
	// NotAsked are VMs that others know, but whose address was not given.
	NotAsked []string `json:"not-asked"`
}

// awaitInForce asks the VMs until the state, or a later one, is in force on
// all of them or the time is over.
func (o *configurer) awaitInForce(ctx context.Context, ref replicator.Ref, limit tier.Millis) *spreadOut {
	end := o.clock.Now() + limit
	for {
		s := spread(o.ask(ctx), ref)
		if len(s.InForce) == s.Asked || o.clock.Now() >= end {
			return s
		}
		select {
		case <-ctx.Done():
			return s
		case <-time.After(pollEvery.Duration()):
		}
	}
}

func spread(views []vmView, ref replicator.Ref) *spreadOut {
	s := &spreadOut{Asked: len(views), InForce: []string{}, Behind: []string{}, NotReached: []string{}, NotAsked: []string{}}
	asked, known := map[string]bool{}, map[string]bool{}
	for _, v := range views {
		asked[v.name] = true
		for _, name := range v.known {
			known[name] = true
		}
		switch r := v.ref(ref.Key()); {
		case v.err != nil:
			s.NotReached = append(s.NotReached, v.label())
		case r == ref || r.NewerThan(ref):
			s.InForce = append(s.InForce, v.label())
		default:
			s.Behind = append(s.Behind, v.label())
		}
	}
	for name := range known {
		if !asked[name] {
			s.NotAsked = append(s.NotAsked, name)
		}
	}
	sort.Strings(s.NotAsked)
	return s
}

func (s *spreadOut) print(w io.Writer) {
	if s == nil {
		return
	}
	fmt.Fprintf(w, "in force on %d of %d VMs\t%s\n", len(s.InForce), s.Asked, strings.Join(s.InForce, " "))
	for _, l := range []struct {
		what  string
		names []string
	}{{"behind", s.Behind}, {"not reached", s.NotReached}, {"not asked", s.NotAsked}} {
		if len(l.names) > 0 {
			fmt.Fprintf(w, "%s\t%s\n", l.what, strings.Join(l.names, " "))
		}
	}
}
