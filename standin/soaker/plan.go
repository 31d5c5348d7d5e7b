package soaker

import (
	"fmt"
	"math/rand/v2"

	"cicadagrade.example/standin/relay"
	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

// fault is a fault or an operation that the soak injects into the deployment.
type fault interface {
	isFault()
	String() string
}

// The faults. VMs and leafs are given by their indices.
type (
	killVMs  struct{ vms []int } // SIGKILL, and a new process after a pause
	stopVM   struct{ vm int }    // SIGTERM, a planned stop, and a new process
	freezeVM struct{ vm int }    // SIGSTOP, then SIGCONT
	crowd    struct{ vm int }    // callers that send large bodies and not to their end
	reloadVM struct{ vm int }    // the settings file is written again, then SIGHUP
	cutStore struct {
		vm  int
		cut relay.Cut
	} // one VM's link to the store
	cutPeer struct {
		vm  int
		cut relay.Cut
	} // other VMs' link to one VM
	loseReplies struct{ vm int } // other VMs' link to one VM loses its replies
	cutLeaf     struct {
		leaf int
		cut  relay.Cut
	} // all VMs' link to one leaf
	delayLeaf struct {
		leaf  int
		delay tier.Millis
	} // all VMs' link to one leaf is delayed
	storeDown         struct{}                    // no call is answered
	storeSlow         struct{ delay tier.Millis } // every call is delayed
	storeLosesReplies struct{}                    // writes take effect without a reply
	storeLosesHistory struct{}                    // watches cannot resume from their revision
	storeReturns      struct{}                    // it returns from a copy as old as the fault lasts
	leafFaults        struct {
		leafs []int
		mode  responder.FaultMode
	} // leafs misbehave in one way
	sayLeaving          struct{ leaf int }     // a leaf says that it leaves in its replies only, and a new one replaces it
	drainLeaf           struct{ leaf int }     // a leaf drains, and a new one replaces it
	reuseAddress        struct{ leaf, by int } // a leaf stops, and another service gets its address
	changeConfiguration struct{ reshard bool } // a new version, with or without other shards
	evacuate            struct{ zone string }  // a data centre is evacuated, and returns
	restartCold         struct{ leaf int }     // a new instance replaces a leaf's without notice
)

func (killVMs) isFault()             {}
func (stopVM) isFault()              {}
func (freezeVM) isFault()            {}
func (crowd) isFault()               {}
func (reloadVM) isFault()            {}
func (cutStore) isFault()            {}
func (cutPeer) isFault()             {}
func (loseReplies) isFault()         {}
func (cutLeaf) isFault()             {}
func (delayLeaf) isFault()           {}
func (storeDown) isFault()           {}
func (storeSlow) isFault()           {}
func (storeLosesReplies) isFault()   {}
func (storeLosesHistory) isFault()   {}
func (storeReturns) isFault()        {}
func (leafFaults) isFault()          {}
func (sayLeaving) isFault()          {}
func (drainLeaf) isFault()           {}
func (reuseAddress) isFault()        {}
func (changeConfiguration) isFault() {}
func (evacuate) isFault()            {}
func (restartCold) isFault()         {}

func (f killVMs) String() string  { return fmt.Sprintf("kill VMs %v", f.vms) }
func (f stopVM) String() string   { return fmt.Sprintf("stop VM %d as planned", f.vm) }
func (f freezeVM) String() string { return fmt.Sprintf("freeze VM %d", f.vm) }
func (f crowd) String() string    { return fmt.Sprintf("a crowd at VM %d", f.vm) }
func (f reloadVM) String() string { return fmt.Sprintf("reload VM %d", f.vm) }
func (f cutStore) String() string { return fmt.Sprintf("%s VM %d's link to the store", f.cut, f.vm) }

func (f cutPeer) String() string { return fmt.Sprintf("%s other VMs' links to VM %d", f.cut, f.vm) }

func (f loseReplies) String() string { return fmt.Sprintf("lose the replies of VM %d to others", f.vm) }

func (f cutLeaf) String() string { return fmt.Sprintf("%s the links to leaf %d", f.cut, f.leaf) }

func (f delayLeaf) String() string {
	return fmt.Sprintf("delay the links to leaf %d by %d ms", f.leaf, f.delay)
}
func (storeDown) String() string         { return "the store is down" }
func (f storeSlow) String() string       { return fmt.Sprintf("the store takes %d ms", f.delay) }
func (storeLosesReplies) String() string { return "the store loses its answers to writes" }
func (storeLosesHistory) String() string { return "the store forgets its history" }
func (storeReturns) String() string      { return "the store returns from a copy" }
func (f leafFaults) String() string      { return fmt.Sprintf("leafs %v are in mood %d", f.leafs, f.mode) }

func (f sayLeaving) String() string { return fmt.Sprintf("leaf %d says that it leaves", f.leaf) }
func (f drainLeaf) String() string  { return fmt.Sprintf("leaf %d drains", f.leaf) }
func (f reuseAddress) String() string {
	return fmt.Sprintf("leaf %d ends, leaf %d takes its address", f.leaf, f.by)
}

func (f evacuate) String() string    { return "evacuate " + f.zone }
func (f restartCold) String() string { return fmt.Sprintf("leaf %d restarts", f.leaf) }

func (f changeConfiguration) String() string {
	return fmt.Sprintf("a new configuration, other shards: %t", f.reshard)
}

// step is a fault, its start relative to that of the load, and its duration.
type step struct {
	at, duration tier.Millis
	fault        fault
}

// Timing of a plan.
const (
	// warmUp is how long the load runs before the first fault.
	warmUp = 2 * tier.Second
	// minFaultDuration and maxFaultDuration bound how long a fault lasts.
	minFaultDuration = 500 * tier.Millisecond
	maxFaultDuration = 4 * tier.Second
	// delayRangeMs is the width of the range from which the delay of a link or the store
	// is drawn, in milliseconds; the range starts at 50 ms.
	delayRangeMs = 400
	// crowdStream is the stream of random numbers of crowds.
	crowdStream = 7
)

// makePlan draws faults that start within a period; the same seed gives the same plan.
// Faults may overlap.
func makePlan(seed uint64, faults, vms, leafs int, period tier.Millis) []step {
	r := rand.New(rand.NewPCG(seed, 0))
	plan := make([]step, 0, faults)
	for range faults {
		plan = append(plan, step{
			at:       warmUp + tier.Millis(r.Int64N(int64(period))),
			duration: minFaultDuration + tier.Millis(r.Int64N(int64(maxFaultDuration-minFaultDuration))),
			fault:    drawFault(r, vms, leafs),
		})
	}
	return append(append(plan, drawLateFaults(seed, leafs, period)...), drawCrowd(seed, vms, period))
}

// drawCrowd draws a crowd of callers that don't behave, apart from the other faults.
func drawCrowd(seed uint64, vms int, period tier.Millis) step {
	r := rand.New(rand.NewPCG(seed, crowdStream))
	return step{
		at: warmUp + tier.Millis(r.Int64N(int64(period))), duration: maxFaultDuration, fault: crowd{r.IntN(vms)},
	}
}

// drawLateFaults draws one fault of each kind that came to the soak later, apart from the others, so
// that these stay the same for a seed.
func drawLateFaults(seed uint64, leafs int, period tier.Millis) []step {
	r := rand.New(rand.NewPCG(seed, 1))
	kinds := []fault{
		storeReturns{}, leafFaults{drawSubset(r, leafs), responder.UnsignedReply}, leafFaults{drawSubset(r, leafs), responder.RepeatRefusal},
	}
	ofService := func() int { return r.IntN(2)*leafs/2 + ownServiceIndex }
	kinds = append(kinds, leafFaults{[]int{ofService()}, responder.AskForRest}, sayLeaving{ofService()})
	plan := make([]step, len(kinds))
	for i, f := range kinds {
		plan[i] = step{
			at:       warmUp + tier.Millis(r.Int64N(int64(period))),
			duration: minFaultDuration + tier.Millis(r.Int64N(int64(maxFaultDuration-minFaultDuration))),
			fault:    f,
		}
	}
	return plan
}

// drawSubset draws distinct indices below n: at least one, and at most half of them.
func drawSubset(r *rand.Rand, n int) []int { return r.Perm(n)[:1+r.IntN(max(1, n/2))] }

// drawFault draws a fault. A VM, a leaf, a cut and a delay are drawn for every fault, even if
// its kind does not use them.
func drawFault(r *rand.Rand, vms, leafs int) fault {
	vm, leaf := r.IntN(vms), r.IntN(leafs)
	cut := []relay.Cut{relay.CutStall, relay.CutReset}[r.IntN(2)]
	delay := tier.Millis(50 + r.IntN(delayRangeMs))
	switch r.IntN(20) {
	case 0:
		return killVMs{r.Perm(vms)}
	case 1, 2:
		return killVMs{drawSubset(r, vms)}
	case 3, 4:
		return stopVM{vm}
	case 5:
		return freezeVM{vm}
	case 6:
		return reloadVM{vm}
	case 7:
		return cutStore{vm, cut}
	case 8:
		return cutPeer{vm, cut}
	case 9:
		return loseReplies{vm}
	case 10:
		return cutLeaf{leaf, cut}
	case 11:
		return delayLeaf{leaf, delay}
	case 12:
		return storeDown{}
	case 13:
		return storeSlow{delay}
	case 14:
		return []fault{storeLosesReplies{}, storeLosesHistory{}}[r.IntN(2)]
	case 15, 16:
		return leafFaults{drawSubset(r, leafs), responder.FaultMode(1 + r.IntN(responder.FaultModeCount-1))}
	case 17:
		return drainLeaf{leaf}
	case 18:
		return reuseAddress{leaf, r.IntN(leafs)}
	default:
		return changeConfiguration{r.IntN(3) == 0}
	}
}
