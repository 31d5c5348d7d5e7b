// Package deployer describes whole deployments of the query tier on
// loopback: data centres, entry VMs, backend servers, shard sets and
// profiles. It writes the committed files of both users' deployments and
// reads such files.
package deployer

import (
	"cicadagrade.example/tier"
)

// VM is an entry VM of a deployment with its fixed addresses.
type VM struct {
	name       string
	dataCentre string
	api        string
	peer       string
}

// Name is unique in the deployment.
func (v VM) Name() string { return v.name }

// DataCentre is the data centre it runs in.
func (v VM) DataCentre() string { return v.dataCentre }

// APIAddress is where callers reach it.
func (v VM) APIAddress() string { return v.api }

// PeerAddress is where other VMs reach it.
func (v VM) PeerAddress() string { return v.peer }

// Deployment is one user's data centres, VMs, backend servers, sets and
// profiles.
type Deployment struct {
	name        string
	seed        uint64
	store       string
	control     string
	links       string
	dataCentres []tier.DataCentre
	vms         []VM
	profiles    []*tier.Profile
	sets        []*tier.ShardSet
}

// Name is the deployment's name, such as "associacao".
func (d *Deployment) Name() string { return d.name }

// RecordSeed is what its records are generated from.
func (d *Deployment) RecordSeed() uint64 { return d.seed }

// StoreAddress is the address of the stand-in store.
func (d *Deployment) StoreAddress() string { return d.store }

// BackendControlAddress is the address of the control port of the backend servers.
func (d *Deployment) BackendControlAddress() string { return d.control }

// LinkControlAddress is the address of the control port of the links between data
// centres.
func (d *Deployment) LinkControlAddress() string { return d.links }

// DataCentres lists the data centres.
func (d *Deployment) DataCentres() []tier.DataCentre { return d.dataCentres }

// VMs lists the entry VMs.
func (d *Deployment) VMs() []VM { return d.vms }

// Profiles lists the profiles.
func (d *Deployment) Profiles() []*tier.Profile { return d.profiles }

// Profile finds a profile by name.
func (d *Deployment) Profile(name string) (*tier.Profile, bool) {
	for _, p := range d.profiles {
		if p.Name() == name {
			return p, true
		}
	}
	return nil, false
}

// Sets lists the shard sets.
func (d *Deployment) Sets() []*tier.ShardSet { return d.sets }

// Set finds a shard set by name.
func (d *Deployment) Set(name string) (*tier.ShardSet, bool) {
	for _, s := range d.sets {
		if s.Name() == name {
			return s, true
		}
	}
	return nil, false
}
