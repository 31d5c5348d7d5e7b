package locator

import (
	"slices"

	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/picker"
)

// UpdateRemoteOwner notes who owns a set in another data centre, of which this VM may
// know only few members, and that owner's report.
func (l *Locator) UpdateRemoteOwner(set string, index int, vm tier.VM, r owner.Report) {
	l.mu.Lock()
	l.announced[announcedKey{set, vm.DataCentre(), index}] = vm
	l.mu.Unlock()
	l.UpdateReport(set, vm.Name(), r, true)
}

// candidates lists the VMs that may run parts of a set in a data centre: the
// announced owners of another data centre, then those picked among the members
// that are known, then those that leave.
func (l *Locator) candidates(s *tier.ShardSet, dataCentre string, owners int) []tier.VM {
	var out []tier.VM
	add := func(vm tier.VM) {
		if !slices.ContainsFunc(out, func(o tier.VM) bool { return o.Name() == vm.Name() }) {
			out = append(out, vm)
		}
	}
	for i := range owners {
		if vm, ok := l.announced[announcedKey{s.Name(), dataCentre, i}]; ok && !l.lost(vm) {
			add(vm)
		}
	}
	for _, vm := range picker.Owners(s.Name(), dataCentre, l.members, max(maxCandidates, s.OwnerCount())) {
		add(vm)
	}
	for _, vm := range l.members {
		_, ok := l.reports[reportKey{s.Name(), vm.Name()}]
		if ok && vm.DataCentre() == dataCentre && vm.State() == tier.VMLeaving {
			add(vm)
		}
	}
	return out
}

// lost reports whether an announced VM is known not to be live, or to have begun
// a later life, in which it has announced nothing yet.
func (l *Locator) lost(vm tier.VM) bool {
	for _, m := range l.members {
		if m.Name() == vm.Name() {
			return m.State() != tier.VMLive || m.Incarnation() > vm.Incarnation()
		}
	}
	return false
}
