package main

import (
	"context"

	"cicadagrade.example/cicadagraded/handler"
	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
)

// Self returns this VM as gossip announces it.
func (d *daemon) Self() tier.VM { return d.gossip.Self() }

// Members lists the VMs that gossip knows.
func (d *daemon) Members() []tier.VM { return d.gossip.Members() }

// Reachable reports whether VMs of a data centre respond.
func (d *daemon) Reachable(dataCentre string) bool { return d.gossip.Reachable(dataCentre) }

// Owners returns the status of the owners that run on this VM.
func (d *daemon) Owners(ctx context.Context) []owner.Status { return d.registry.Statuses(ctx) }

// Documents lists the configuration documents in force on this VM.
func (d *daemon) Documents() []handler.Document {
	var out []handler.Document
	for _, r := range d.config.Status().Documents() {
		out = append(out, handler.NewDocument(r.Key(), r.Epoch(), r.Revision(), r.Digest()))
	}
	return out
}

// Warnings lists the conditions that need an operator's attention.
func (d *daemon) Warnings() []string { return append(d.storeHealth.warnings(), d.config.Warnings()...) }
