package locator

import (
	"slices"

	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/picker"
)

// UpdateRemoteOwner records the VM that owns a set in another data centre, as one of its owners
// by index, and its report. This VM may know only a few members of that data centre.
func (l *Locator) UpdateRemoteOwner(set string, index int, vm tier.VM, r owner.Report) {
	l.mu.Lock()
	l.remoteOwners[remoteOwnerKey{set, vm.DataCentre(), index}] = vm
	l.mu.Unlock()
	l.UpdateReport(set, vm.Name(), r, true)
}

// candidates lists the VMs that may run requests to a set in a data centre: first the
// announced owners, if it is another data centre, then the owners picked among the known
// members, then the VMs with a report that are leaving.
func (l *Locator) candidates(s *tier.ShardSet, dataCentre string, owners int) []tier.VM {
	var out []tier.VM
	add := func(vm tier.VM) {
		if !slices.ContainsFunc(out, func(o tier.VM) bool { return o.Name() == vm.Name() }) {
			out = append(out, vm)
		}
	}
	for i := range owners {
		if vm, ok := l.remoteOwners[remoteOwnerKey{s.Name(), dataCentre, i}]; ok && !l.isOutdated(vm) {
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

// isOutdated reports whether an announced VM is known not to be live, or to have
// restarted since its announcement.
func (l *Locator) isOutdated(vm tier.VM) bool {
	for _, m := range l.members {
		if m.Name() == vm.Name() {
			return m.State() != tier.VMLive || m.Incarnation() > vm.Incarnation()
		}
	}
	return false
}
