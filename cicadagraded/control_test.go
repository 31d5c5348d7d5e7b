package main

import (
	"reflect"
	"testing"

	"cicadagrade.example/tier"
)

// TestJoiningVMsKeepTheConfiguration: VMs join until they have the
// configuration, so the choice of watchers must count them.
func TestJoiningVMsKeepTheConfiguration(t *testing.T) {
	vm := func(name string, s tier.VMState) tier.VM {
		return tier.NewVM(name, name[:1], "127.0.0.1:1", tier.WithVMState(s))
	}
	c := &control{self: vm("a1", tier.VMJoining), members: []tier.VM{
		vm("a1", tier.VMJoining), vm("a2", tier.VMLive), vm("a3", tier.VMLeaving), vm("a4", tier.VMDead),
		vm("b1", tier.VMJoining), vm("b2", tier.VMDead),
	}}
	local, remote := c.presentNames()
	if !reflect.DeepEqual(local, []string{"a1", "a2"}) || !reflect.DeepEqual(remote, []string{"b1"}) {
		t.Errorf("local %v, remote %v", local, remote)
	}
}
