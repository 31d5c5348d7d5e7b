package gossiper

import "cicadagrade.example/tier"

// PublishedValue is a value and the VM that wrote it.
type PublishedValue struct {
	vm    tier.VM
	value []byte
}

// VM is the VM that wrote the value.
func (p PublishedValue) VM() tier.VM { return p.vm }

// Value returns the value; callers must not change it.
func (p PublishedValue) Value() []byte { return p.value }

// Self returns this VM with its published incarnation and state.
func (g *Gossiper) Self() tier.VM { return g.self.vm }

// Generation counts the changes of Members, so that readers can tell whether to read
// them again.
func (g *Gossiper) Generation() uint64 { return g.generation }

// Members lists the known VMs including this one, sorted by name. Dead VMs are listed
// until they are forgotten. Of another data centre only a few VMs are known.
func (g *Gossiper) Members() []tier.VM {
	out := make([]tier.VM, 0, len(g.names))
	for _, name := range g.names {
		if r := g.records[name]; r.vmKnown {
			out = append(out, r.vmWithState())
		}
	}
	return out
}

// Entries lists the values that live VMs published under a key, sorted by VM.
func (g *Gossiper) Entries(key string) []PublishedValue {
	var out []PublishedValue
	for _, name := range g.names {
		r := g.records[name]
		w, ok := r.entries[key]
		if ok && len(w.value) > 0 && r.vmKnown && !r.dead {
			out = append(out, PublishedValue{vm: r.vm, value: w.value})
		}
	}
	return out
}

// Shared returns the shared value of a key with the highest (epoch, revision).
func (g *Gossiper) Shared(key string) (epoch, revision uint64, value []byte, ok bool) {
	e, ok := g.sharedEntries[key]
	return uint64(e.incarnation), e.version, e.value, ok
}

// ReplacedBy returns the VM that runs under this VM's name with a later incarnation,
// if there is one.
func (g *Gossiper) ReplacedBy() (tier.VM, bool) { return g.replacedBy, g.replaced }

// Fresh reports whether this VM may act on its state: it has exchanged with a peer
// since it started or was last paused, or there is no peer to exchange with. It is false
// once another VM has replaced this one.
func (g *Gossiper) Fresh(now tier.Millis) bool {
	return g.started && !g.replaced && !g.stale && now-g.lastTickAt <= g.pauseThreshold
}
