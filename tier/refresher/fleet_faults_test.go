package refresher

import "cicadagrade.example/tier"

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
	for _, v := range s.vms {
		v.storeFault = ""
	}
}
