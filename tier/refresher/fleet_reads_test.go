package refresher

import (
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/partitioner"
)

// read returns how long a read takes, and a function that applies its result and returns the
// age of the view read and whether there was one.
func (s *fleet) read(v *vm, source Source) (tier.Millis, func() (tier.Millis, bool)) {
	failed := func() (tier.Millis, bool) { return 0, false }
	switch source := source.(type) {
	case Store, StoreVMs:
		cost := 1.0
		if st, ok := source.(Store); ok && (st.Whole || v.viewAt == 0) {
			cost = leafPages + 2
		} else if !ok {
			cost = 0.1
		}
		s.calls += min(cost, 1)
		switch v.storeFault {
		case "store-silent":
			return silentCallTime, failed
		case "store-refuses":
			return storeCallTime, failed
		}
		s.calls += cost - min(cost, 1)
		took := storeCallTime * s.slowness
		if cost > 1 {
			took *= leafPages
		}
		return took, func() (tier.Millis, bool) {
			members := make([]partitioner.Member, 0, len(s.registered))
			for _, m := range s.registered {
				members = append(members, m)
			}
			if _, ok := source.(StoreVMs); ok {
				for _, m := range members {
					v.partitioner.Put(m)
				}
				return 0, true
			}
			s.apply(v, members, s.now-took, s.now)
			return 0, true
		}
	case Peer:
		other := s.byName[source.Member.VM().Name()]
		took := localCallTime
		if other.member.Region() != v.member.Region() {
			took = remoteCallTime
		}
		took += s.replyDelay
		if !other.up || other.frozen || other.cut != v.cut {
			dead := deadCallTime
			if other.up {
				dead = silentFetchTime
			}
			return dead, func() (tier.Millis, bool) {
				if v.joinedAt >= 0 {
					v.partitioner.Failed(s.now, other.member.VM().Name(), partitioner.FetchFailed)
					s.probe(v, other, v.generation)
				}
				return 0, false
			}
		}
		if other.joinedAt < 0 {
			return took, func() (tier.Millis, bool) {
				v.refresher.NoView(source)
				return 0, false
			}
		}
		told, storeAt, members := s.now-other.viewAt, other.storeAt, other.members
		return took, func() (tier.Millis, bool) {
			v.partitioner.Reached(other.member.VM().Name())
			asOf := AsOf(s.now-took, told)
			v.viewAt = max(v.viewAt, asOf)
			if storeAt > v.storeAt {
				s.apply(v, members, v.viewAt, storeAt)
			}
			return s.now - asOf, true
		}
	case Seed:
		other := s.byName[source.Address]
		if !other.up {
			return deadCallTime, failed
		}
		members := other.members
		return localCallTime, func() (tier.Millis, bool) {
			for _, m := range members {
				v.partitioner.Put(m)
			}
			return 0, true
		}
	}
	s.t.Fatalf("unknown source %T", source)
	return 0, nil
}

func (s *fleet) apply(v *vm, members []partitioner.Member, viewAt, storeAt tier.Millis) {
	v.members, v.viewAt, v.storeAt = members, max(viewAt, v.viewAt), storeAt
	v.partitioner.SetMembers(s.now, members, true)
	if v.registered && !slices.ContainsFunc(members, func(m partitioner.Member) bool { return m.VM().Name() == v.member.VM().Name() }) {
		v.registered = false
	}
}
