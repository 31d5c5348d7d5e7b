package gossiper

import "cicadagrade.example/tier"

// Published is a value with the VM that wrote it.
type Published struct {
	vm    tier.VM
	value []byte
}

// VM is the writer.
func (p Published) VM() tier.VM { return p.vm }

// Value is the value; callers must not change it.
func (p Published) Value() []byte { return p.value }

// Self is this VM, with its life and state as published.
func (g *Gossiper) Self() tier.VM { return g.own.vm }

// Generation counts the changes of Members, so that readers can tell whether
// to read them again.
func (g *Gossiper) Generation() uint64 { return g.generation }

// Members lists the VMs known, this one among them, sorted by name. Those
// declared dead are listed as such until they are forgotten. Of another data
// centre only a few VMs are kept.
func (g *Gossiper) Members() []tier.VM {
	out := make([]tier.VM, 0, len(g.names))
	for _, name := range g.names {
		if r := g.records[name]; r.known {
			out = append(out, r.state())
		}
	}
	return out
}

// Entries lists what the VMs that are not dead published under a key, sorted
// by VM.
func (g *Gossiper) Entries(key string) []Published {
	var out []Published
	for _, name := range g.names {
		r := g.records[name]
		w, ok := r.entries[key]
		if ok && len(w.value) > 0 && r.known && !r.dead {
			out = append(out, Published{vm: r.vm, value: w.value})
		}
	}
	return out
}

// Shared is the highest shared value of a key.
func (g *Gossiper) Shared(key string) (epoch, revision uint64, value []byte, ok bool) {
	e, ok := g.shared[key]
	return uint64(e.incarnation), e.version, e.value, ok
}

// ReplacedBy is the VM that runs under this VM's name in a later life, if there
// is one.
func (g *Gossiper) ReplacedBy() (tier.VM, bool) { return g.replacedBy, g.replaced }

// Fresh reports whether this VM may act on what it holds: it has exchanged
// with a peer since it started or was last paused, or has no peer left.
func (g *Gossiper) Fresh(now tier.Millis) bool {
	return g.started && !g.replaced && !g.stale && now-g.lastTick <= g.pause
}
