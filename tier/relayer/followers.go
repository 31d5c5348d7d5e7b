package relayer

import "cicadagrade.example/tier"

// followerTTL is how long a VM counts as a follower after its last read. It is several
// times the interval of reads.
const followerTTL = 3 * tier.Second

// Followers counts the VMs that copy the view of this one.
type Followers struct {
	seenAt map[string]tier.Millis
}

// NewFollowers returns an empty count.
func NewFollowers() *Followers { return &Followers{seenAt: map[string]tier.Millis{}} }

// Seen records that a VM has read the view.
func (f *Followers) Seen(now tier.Millis, name string) { f.seenAt[name] = now }

// Count is the number of VMs that have read the view within followerTTL.
func (f *Followers) Count(now tier.Millis) int {
	for name, at := range f.seenAt {
		if now-at >= followerTTL {
			delete(f.seenAt, name)
		}
	}
	return len(f.seenAt)
}
