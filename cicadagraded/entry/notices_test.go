package entry

import (
	"net/http"
	"testing"
)

// Guards against a request to a leaf that has said that it leaves, in a reply that this VM has passed on and another
// VM has got.
func TestLeafThatLeavesIsKnownToTheVMThatPassesItsReplyOn(t *testing.T) {
	f := newLinkFleet(t, "depot-a", "depot-c")
	withoutLinks := f.entries[0]
	f.ask(withoutLinks, "/line/1")
	f.links[withoutLinks].set(resetAll)
	f.waitForLinks(withoutLinks, true)
	for _, leaf := range f.leafs {
		leaf.SayLeaving()
	}
	for _, path := range []string{"/line/2", "/sweep/2"} {
		if got := f.ask(withoutLinks, path).Code; got != http.StatusOK {
			t.Fatalf("%s: status %d", path, got)
		}
	}
	for _, service := range []string{"orders", "s1", "s2", "s3"} {
		for k, e := range f.entries {
			e.mu.Lock()
			if left := len(e.scheduler.Lister().Leafs(service)); left != 1 {
				t.Errorf("VM %d uses %d leafs of %s, one of two has said that it leaves", k, left, service)
			}
			e.mu.Unlock()
		}
	}
}
