// Package deployer describes deployments of the query tier on loopback: data centres,
// entry VMs, backend servers, shard sets and profiles. It reads deployment files and
// generates the ones in the repository, which belong to two organisations.
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

// Name returns the VM's name, which is unique in the deployment.
func (v VM) Name() string { return v.name }

// DataCentre returns the name of the data centre that the VM runs in.
func (v VM) DataCentre() string { return v.dataCentre }

// APIAddress returns the address that callers use.
func (v VM) APIAddress() string { return v.api }

// PeerAddress returns the address that other VMs use.
func (v VM) PeerAddress() string { return v.peer }

// Deployment holds the data centres, VMs, backend servers, shard sets and profiles of
// one organisation.
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

// Name returns the deployment's name, such as "associacao".
func (d *Deployment) Name() string { return d.name }

// RecordSeed returns the seed from which the records of the backend servers are
// generated.
func (d *Deployment) RecordSeed() uint64 { return d.seed }

// StoreAddress returns the address of the simulated store.
func (d *Deployment) StoreAddress() string { return d.store }

// BackendControlAddress returns the address of the control port of the simulated
// backend servers.
func (d *Deployment) BackendControlAddress() string { return d.control }

// LinkControlAddress returns the address of the control port of the links between data
// centres.
func (d *Deployment) LinkControlAddress() string { return d.links }

// DataCentres returns all data centres.
func (d *Deployment) DataCentres() []tier.DataCentre { return d.dataCentres }

// VMs returns all entry VMs.
func (d *Deployment) VMs() []VM { return d.vms }

// Profiles returns all profiles.
func (d *Deployment) Profiles() []*tier.Profile { return d.profiles }

// Profile returns the profile with the given name.
func (d *Deployment) Profile(name string) (*tier.Profile, bool) {
	for _, p := range d.profiles {
		if p.Name() == name {
			return p, true
		}
	}
	return nil, false
}

// Sets returns all shard sets.
func (d *Deployment) Sets() []*tier.ShardSet { return d.sets }

// Set returns the shard set with the given name.
func (d *Deployment) Set(name string) (*tier.ShardSet, bool) {
	for _, s := range d.sets {
		if s.Name() == name {
			return s, true
		}
	}
	return nil, false
}
