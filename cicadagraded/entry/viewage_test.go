package entry

import (
	"sync"
	"testing"
	"time"

	"cicadagrade.example/tier"
)

// Guards against a view that counts as fresher than it is because the VM was suspended, or waited,
// between the reply of another VM and the end of applying it.
func TestTimeOfApplyingAViewCountsInItsAge(t *testing.T) {
	f := newLinkFleet(t, "depot-a", "depot-a")
	vm := f.entries[0]
	const suspended = 300 * tier.Millisecond
	endOther := vm.beginApply("another read")
	var group sync.WaitGroup
	group.Go(func() { (&returnedFleet{linkFleet: f}).copyView(vm, f.entries[1]) })
	time.Sleep((100 * tier.Millisecond).Duration()) // the reply has come
	vm.mu.Lock()
	endOther()
	time.Sleep(suspended.Duration())
	vm.mu.Unlock()
	group.Wait()
	if age := vm.viewAge(); age < suspended {
		t.Errorf("the view is %d ms old, expected %d at least", age, suspended)
	}
}
