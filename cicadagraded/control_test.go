package main

import (
	"reflect"
	"testing"

	"cicadagrade.example/tier"
)

// A VM stays in the joining state until it has the configuration, so joining VMs must be
// counted when the store watchers are chosen.
func TestJoiningVMsReplicateTheConfiguration(t *testing.T) {
	vm := func(name string, s tier.VMState) tier.VM {
		return tier.NewVM(name, name[:1], "127.0.0.1:1", tier.WithVMState(s))
	}
	c := &control{self: vm("a1", tier.VMJoining), members: []tier.VM{
		vm("a1", tier.VMJoining), vm("a2", tier.VMLive), vm("a3", tier.VMLeaving), vm("a4", tier.VMDead),
		vm("b1", tier.VMJoining), vm("b2", tier.VMDead),
	}}
	local, remote := c.liveOrJoiningNames()
	if !reflect.DeepEqual(local, []string{"a1", "a2"}) || !reflect.DeepEqual(remote, []string{"b1"}) {
		t.Errorf("local %v, remote %v", local, remote)
	}
}
