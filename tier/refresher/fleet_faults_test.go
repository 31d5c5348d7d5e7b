package refresher

import (
	"slices"
	"strings"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/partitioner"
)

// fault begins a fault of a script, as described at TestFleets.
func (s *fleet) fault(words []string) {
	if s.order == nil {
		s.order = s.vms[0].partitioner.Relays()
	}
	switch words[0] {
	case "power-loss":
		for _, v := range s.vms {
			s.kill(v, tier.Millis(s.number(words[1]))+tier.Millis(s.random.IntN(startSpread)))
		}
	case "kill-first":
		s.kill(s.byName[s.order[0].VM().Name()], tier.Millis(s.number(words[1])))
	case "restart":
		for _, v := range s.vms {
			if s.random.Float64() < s.number(words[1]) {
				s.kill(v, 500)
			}
		}
	case "store-refuses", "store-silent":
		s.faults++
		for _, v := range s.vms {
			if s.random.Float64() < s.number(words[1]) {
				v.storeFault = words[0]
			}
		}
		s.after(tier.Millis(s.number(words[2])), func() { s.endStoreFaults() })
	case "store-silent-first", "store-refuses-first":
		s.faults++
		for _, v := range s.firstRelays(words[1]) {
			v.storeFault = strings.TrimSuffix(words[0], "-first")
		}
		s.after(tier.Millis(s.number(words[2])), func() { s.endStoreFaults() })
	case "cut-first":
		cut := s.firstRelays(words[1])
		for _, v := range cut {
			v.cut = true
		}
		s.after(tier.Millis(s.number(words[2])), func() {
			for _, v := range cut {
				v.cut = false
			}
			s.touch()
		})
	case "freeze-first":
		v := s.firstRelays("1")[0]
		v.frozen = true
		s.after(tier.Millis(s.number(words[1])), func() {
			v.frozen = false
			s.touch()
		})
	case "links-lost-first":
		for _, v := range s.firstRelays(words[1]) {
			s.setDeclines(v, true)
			s.after(tier.Millis(s.number(words[2])), func() { s.setDeclines(v, false) })
		}
	case "store-refuses-linked":
		s.faults++
		for _, v := range s.vms {
			if !v.declines {
				v.storeFault = "store-refuses"
			}
		}
		s.after(tier.Millis(s.number(words[1])), func() { s.endStoreFaults() })
	case "busy":
		s.replyDelay = tier.Millis(s.number(words[1]))
		s.after(tier.Millis(s.number(words[2])), func() { s.replyDelay = 0 })
	case "store-slow":
		s.slowness = tier.Millis(s.number(words[1]))
		s.after(tier.Millis(s.number(words[2])), func() { s.slowness, s.calmAt = 1, s.now })
	case "leases-lapse":
		clear(s.registered)
	default:
		s.t.Fatalf("unknown fault %q", words[0])
	}
}

func (s *fleet) endStoreFaults() {
	s.faults--
	s.calmAt = s.now
	s.touch()
	for _, v := range s.vms {
		v.storeFault = ""
	}
}

// setDeclines begins or ends that a VM declines shares. All others have sent it one, and suspect it
// until a probe says that it takes shares again.
func (s *fleet) setDeclines(v *vm, declines bool) {
	v.declines = declines
	for _, other := range s.vms {
		if other == v || other.partitioner == nil {
			continue
		}
		if declines {
			other.partitioner.Failed(s.now, v.member.VM().Name(), partitioner.ShareDeclined)
		} else {
			other.partitioner.Recovered(s.now, v.member.VM().Name())
		}
	}
}

// inTouch reports whether a VM could have the newest view: the store answers it, or a VM that it
// reaches.
func (s *fleet) inTouch(v *vm) bool {
	return slices.ContainsFunc(s.vms, func(other *vm) bool {
		return other.up && !other.frozen && other.storeFault == "" && other.cut == v.cut
	})
}

// touch records which VMs are in touch again after the end of a fault.
func (s *fleet) touch() {
	for _, v := range s.vms {
		v.touchedAt = s.now
	}
}

// firstRelays lists the first relays.
func (s *fleet) firstRelays(count string) []*vm {
	var list []*vm
	for _, m := range s.order[:min(len(s.order), int(s.number(count)))] {
		list = append(list, s.byName[m.VM().Name()])
	}
	return list
}
