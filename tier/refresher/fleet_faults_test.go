package refresher

import (
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/partitioner"
)

// fault begins a fault of a script, as described at TestFleets.
func (s *fleet) fault(words []string) {
	switch words[0] {
	case "power-loss":
		for _, v := range s.vms {
			s.kill(v, tier.Millis(s.number(words[1]))+tier.Millis(s.random.IntN(startSpread)))
		}
	case "kill-first":
		s.kill(s.byName[s.vms[0].partitioner.Relays()[0].VM().Name()], tier.Millis(s.number(words[1])))
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
	case "store-silent-first":
		s.faults++
		for _, m := range s.vms[0].partitioner.Relays()[:int(s.number(words[1]))] {
			s.byName[m.VM().Name()].storeFault = "store-silent"
		}
		s.after(tier.Millis(s.number(words[2])), func() { s.endStoreFaults() })
	case "links-lost-first":
		for _, m := range s.vms[0].partitioner.Relays()[:int(s.number(words[1]))] {
			s.setDeclines(s.byName[m.VM().Name()], true)
			s.after(tier.Millis(s.number(words[2])), func() { s.setDeclines(s.byName[m.VM().Name()], false) })
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
	if !s.readable() {
		s.readableAt = s.now
	}
	s.faults--
	s.calmAt = s.now
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

// readable reports whether the store answers any VM.
func (s *fleet) readable() bool {
	return slices.ContainsFunc(s.vms, func(v *vm) bool { return v.up && v.storeFault == "" })
}
