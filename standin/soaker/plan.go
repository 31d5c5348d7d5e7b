package soaker

import (
	"fmt"
	"math/rand/v2"

	"cicadagrade.example/standin/relay"
	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

// fault is something that the soak does to the deployment.
type fault interface {
	fault()
	String() string
}

// The faults. VMs, leafs and shards are told by their numbers.
type (
	kill     struct{ vms []int } // SIGKILL, and a new process after a while
	stopVM   struct{ vm int }    // SIGTERM, as planned, and a new process
	freeze   struct{ vm int }    // SIGSTOP, then SIGCONT
	reload   struct{ vm int }    // the settings file is written anew, and SIGHUP
	cutStore struct {
		vm  int
		cut relay.Cut
	} // one VM's way to the store
	cutVM struct {
		vm  int
		cut relay.Cut
	} // other VMs' way to one VM
	muteVM  struct{ vm int } // the same, its replies only
	cutLeaf struct {
		leaf int
		cut  relay.Cut
	} // all VMs' way to one leaf
	slowLink struct {
		leaf  int
		delay tier.Millis
	} // the same, delayed
	storeDown    struct{}                    // no call is answered
	storeSlow    struct{ delay tier.Millis } // every call waits
	storeLosing  struct{}                    // writes take effect without an answer
	storeForgets struct{}                    // watches can not go on from what they had
	moods        struct {
		leafs []int
		mood  responder.FaultMode
	} // leafs behave badly
	drainLeaf struct{ leaf int }     // a leaf leaves, and another takes its place
	reuse     struct{ leaf, by int } // a leaf ends, another service takes its address
	configure struct{ reshard bool } // a new version, with other shards or not
)

func (kill) fault()         {}
func (stopVM) fault()       {}
func (freeze) fault()       {}
func (reload) fault()       {}
func (cutStore) fault()     {}
func (cutVM) fault()        {}
func (muteVM) fault()       {}
func (cutLeaf) fault()      {}
func (slowLink) fault()     {}
func (storeDown) fault()    {}
func (storeSlow) fault()    {}
func (storeLosing) fault()  {}
func (storeForgets) fault() {}
func (moods) fault()        {}
func (drainLeaf) fault()    {}
func (reuse) fault()        {}
func (configure) fault()    {}

func (f kill) String() string     { return fmt.Sprintf("kill VMs %v", f.vms) }
func (f stopVM) String() string   { return fmt.Sprintf("stop VM %d as planned", f.vm) }
func (f freeze) String() string   { return fmt.Sprintf("freeze VM %d", f.vm) }
func (f reload) String() string   { return fmt.Sprintf("reload VM %d", f.vm) }
func (f cutStore) String() string { return fmt.Sprintf("%s VM %d's link to the store", f.cut, f.vm) }

func (f cutVM) String() string { return fmt.Sprintf("%s other VMs' links to VM %d", f.cut, f.vm) }

func (f muteVM) String() string  { return fmt.Sprintf("lose the replies of VM %d to others", f.vm) }
func (f cutLeaf) String() string { return fmt.Sprintf("%s the links to leaf %d", f.cut, f.leaf) }
func (f slowLink) String() string {
	return fmt.Sprintf("delay the links to leaf %d by %d ms", f.leaf, f.delay)
}
func (storeDown) String() string    { return "the store is down" }
func (f storeSlow) String() string  { return fmt.Sprintf("the store takes %d ms", f.delay) }
func (storeLosing) String() string  { return "the store loses its answers to writes" }
func (storeForgets) String() string { return "the store forgets its history" }
func (f moods) String() string      { return fmt.Sprintf("leafs %v are in mood %d", f.leafs, f.mood) }
func (f drainLeaf) String() string  { return fmt.Sprintf("leaf %d drains", f.leaf) }
func (f reuse) String() string {
	return fmt.Sprintf("leaf %d ends, leaf %d takes its address", f.leaf, f.by)
}

func (f configure) String() string {
	return fmt.Sprintf("a new configuration, other shards: %t", f.reshard)
}

// step is a fault at a time from the start of the load.
type step struct {
	at, lasts tier.Millis
	fault     fault
}

// Times of a plan.
const (
	// calmStart is the load before the first fault.
	calmStart = 2 * tier.Second
	// shortest and longest bound how long a fault lasts.
	shortest = 500 * tier.Millisecond
	longest  = 4 * tier.Second
	// slowest is the longest delay of a link or the store.
	slowest = 400
)

// makePlan draws faults over a time; the same seed gives the same plan. Faults
// overlap, and come in series.
func makePlan(seed uint64, faults, vms, leafs int, over tier.Millis) []step {
	r := rand.New(rand.NewPCG(seed, 0))
	plan := make([]step, 0, faults)
	for range faults {
		plan = append(plan, step{
			at:    calmStart + tier.Millis(r.Int64N(int64(over))),
			lasts: shortest + tier.Millis(r.Int64N(int64(longest-shortest))),
			fault: draw(r, vms, leafs),
		})
	}
	return plan
}

// some draws up to half of n numbers, one at least.
func some(r *rand.Rand, n int) []int { return r.Perm(n)[:1+r.IntN(max(1, n/2))] }

func draw(r *rand.Rand, vms, leafs int) fault {
	vm, leaf := r.IntN(vms), r.IntN(leafs)
	cut := []relay.Cut{relay.CutStall, relay.CutReset}[r.IntN(2)]
	delay := tier.Millis(50 + r.IntN(slowest))
	switch r.IntN(20) {
	case 0:
		return kill{r.Perm(vms)}
	case 1, 2:
		return kill{some(r, vms)}
	case 3, 4:
		return stopVM{vm}
	case 5:
		return freeze{vm}
	case 6:
		return reload{vm}
	case 7:
		return cutStore{vm, cut}
	case 8:
		return cutVM{vm, cut}
	case 9:
		return muteVM{vm}
	case 10:
		return cutLeaf{leaf, cut}
	case 11:
		return slowLink{leaf, delay}
	case 12:
		return storeDown{}
	case 13:
		return storeSlow{delay}
	case 14:
		return []fault{storeLosing{}, storeForgets{}}[r.IntN(2)]
	case 15, 16:
		return moods{some(r, leafs), responder.FaultMode(1 + r.IntN(responder.FaultModeCount-1))}
	case 17:
		return drainLeaf{leaf}
	case 18:
		return reuse{leaf, r.IntN(leafs)}
	default:
		return configure{r.IntN(3) == 0}
	}
}
