package relayer

import "testing"

func TestFollowersAreForgotten(t *testing.T) {
	f := NewFollowers()
	f.Seen(0, "a")
	f.Seen(0, "b")
	f.Seen(2000, "b")
	if n := f.Count(2000); n != 2 {
		t.Errorf("%d followers, expected 2", n)
	}
	if n := f.Count(followerTTL); n != 1 {
		t.Errorf("%d followers, expected the one that has read again", n)
	}
}
