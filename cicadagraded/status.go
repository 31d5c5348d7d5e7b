package main

import (
	"context"

	"cicadagrade.example/cicadagraded/handler"
	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
)

// Self is this VM as its peers know it.
func (d *daemon) Self() tier.VM { return d.gossip.Self() }

// Members lists the VMs known.
func (d *daemon) Members() []tier.VM { return d.gossip.Members() }

// Reachable reports whether a data centre answers.
func (d *daemon) Reachable(dataCentre string) bool { return d.gossip.Reachable(dataCentre) }

// Owners lists the owners that run on this VM.
func (d *daemon) Owners(ctx context.Context) []owner.Status { return d.registry.Statuses(ctx) }

// Documents lists the configuration documents in force here.
func (d *daemon) Documents() []handler.Document {
	var out []handler.Document
	for _, r := range d.config.Status().Documents() {
		out = append(out, handler.NewDocument(r.Key(), r.Epoch(), r.Revision(), r.Digest()))
	}
	return out
}

// Warnings lists what an operator should look at.
func (d *daemon) Warnings() []string { return append(d.store.warnings(), d.config.Warnings()...) }
