package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
)

const (
	// storeAway is how long the store is away before it returns from a copy.
	storeAway = 400 * tier.Millisecond
	// drillCopy is the name of the copy from which the store returns.
	drillCopy = "drill"
	// maxLostChanges is how many changes of leafs the copy lacks at most. VMs have read them, so that the
	// store's revisions stay behind those that VMs know until as many others have followed.
	maxLostChanges = 90
	// maxRewritePause is the time until the operator writes a lost configuration again, and slowRewritePause
	// that of an operator who notices the loss late.
	maxRewritePause  = 1200 * tier.Millisecond
	slowRewritePause = stableWindow + 3*tier.Second
	// maxVersions is how many configurations follow the next one at most, each at once after the one before.
	maxVersions = 4
	// drillJudged is for how long the timed checks judge a drill.
	drillJudged = 2 * tier.Second
)

// drill is a return of the store from a copy in a calm time, and a configuration that follows. Leafs write
// little meanwhile, as in a quiet deployment.
type drill struct {
	age         tier.Millis // of the copy
	lost        int         // changes of leafs that it lacks
	leafs       []int       // that make them
	losesNewest bool        // it lacks the newest configuration too
	rewrite     tier.Millis // pause until that is written again
	again       tier.Millis // pause until the store returns from the copy once more, or 0
	frozen      int         // VM that is frozen, or -1
	frozenFor   tier.Millis
	killed      int         // VM that is killed and starts when the store has returned, or -1
	next        tier.Millis // pause until the next configuration
	versions    int         // configurations that follow in quick succession
	beside      fault       // of the store, from its return on, or nil
}

func (d drill) String() string {
	return fmt.Sprintf("the store returns from a copy %d ms old, without %d changes, newest configuration lost: %t (written again after %d ms), "+
		"again after %d ms, VM %d frozen for %d ms, VM %d killed, beside it: %v, %d configurations after %d ms",
		d.age, d.lost, d.losesNewest, d.rewrite, d.again, d.frozen, d.frozenFor, d.killed, d.beside, d.versions, d.next)
}

// makeDrills draws drills; the same seed gives the same ones.
func makeDrills(seed uint64, count, vms, leafs int) []drill {
	r := rand.New(rand.NewPCG(seed, 3))
	pause := func(least, most tier.Millis) tier.Millis { return least + tier.Millis(r.Int64N(int64(most-least))) }
	list := make([]drill, count)
	for i := range list {
		d := drill{
			age: pause(minFaultDuration, maxFaultDuration), lost: r.IntN(maxLostChanges + 1), leafs: r.Perm(leafs)[:1+r.IntN(leafs/3)],
			losesNewest: r.IntN(2) == 0, rewrite: pause(0, maxRewritePause), frozen: -1, killed: -1, next: pause(0, 3*tier.Second),
			versions: 1,
		}
		if r.IntN(2) == 0 {
			d.again = pause(1, 1500*tier.Millisecond)
		}
		if r.IntN(3) == 0 {
			d.frozen, d.frozenFor = r.IntN(vms), pause(minFaultDuration, 3500*tier.Millisecond)
		}
		if d.losesNewest && r.IntN(2) == 0 {
			d.killed, d.rewrite = r.IntN(vms), slowRewritePause
		}
		if r.IntN(3) == 0 {
			d.versions += 1 + r.IntN(maxVersions)
		}
		if r.IntN(2) == 0 {
			d.beside = []fault{storeLosesHistory{}, storeLosesReplies{}, storeSlow{delayRangeMs}}[r.IntN(3)]
		}
		list[i] = d
	}
	return list
}

// runDrills makes one drill after the other, each in a calm time.
func (s *Soak) runDrills(ctx context.Context, list []drill) {
	s.quiet.Store(true)
	defer s.quiet.Store(false)
	s.history.update(func() { s.history.drillsFrom = time.Now() })
	for _, d := range list {
		s.log.Info("drill", "drill", d)
		if err := s.runDrill(ctx, d); err != nil {
			s.log.Error("drill not made", "drill", d, "error", err)
		}
	}
}

func (s *Soak) runDrill(ctx context.Context, d drill) error {
	s.drillMu.Lock()
	defer s.drillMu.Unlock()
	s.storeServer.Save(drillCopy)
	for i := range d.lost {
		s.writeAgain(ctx, s.leafs[d.leafs[i%len(d.leafs)]])
		sleep(ctx, d.age/tier.Millis(d.lost))
	}
	if d.losesNewest {
		if err := s.putConfiguration(ctx, "a"); err != nil {
			return err
		}
	}
	sleep(ctx, pollPeriod) // the VMs have read what is lost
	var others sync.WaitGroup
	defer others.Wait()
	if err := s.returnFromCopy(ctx); err != nil {
		return err
	}
	if d.beside != nil {
		others.Go(func() { s.breakStore(ctx, d.beside, minFaultDuration) })
	}
	if d.frozen >= 0 {
		others.Go(func() { s.freeze(ctx, s.vms[d.frozen], d.frozenFor) })
	}
	if d.again > 0 {
		sleep(ctx, d.again)
		if err := s.returnFromCopy(ctx); err != nil {
			return err
		}
	}
	if d.killed >= 0 {
		if err := s.killVMs(ctx, killVMs{[]int{d.killed}}, restartPause); err != nil {
			return err
		}
	}
	if d.losesNewest {
		sleep(ctx, d.rewrite)
		s.rewriteConfiguration(ctx)
	}
	others.Wait()
	sleep(ctx, d.next)
	for range d.versions {
		if err := s.putConfiguration(ctx, "a"); err != nil {
			return err
		}
	}
	sleep(ctx, max(configurationBound, stableWindow-d.next)+drillJudged)
	return nil
}

// pollPeriod is longer than the time in which all VMs have read a change.
const pollPeriod = 1200 * tier.Millisecond

// returnFromCopy takes the store away, and lets it return from the copy. The leafs that this concerns write
// their registrations again when they are due.
func (s *Soak) returnFromCopy(ctx context.Context) error {
	defer s.history.beginDisturbance(disturbance{description: storeReturns{}.String()})()
	s.setStoreFault(storeDown{}, true)
	defer s.setStoreFault(storeDown{}, false)
	sleep(ctx, storeAway)
	return errors.Wrap(s.storeServer.Drill(drillCopy), "Soak.returnFromCopy")
}

// rewriteConfiguration writes the newest configuration again, until the store has confirmed it.
func (s *Soak) rewriteConfiguration(ctx context.Context) {
	s.configurationMu.Lock()
	defer s.configurationMu.Unlock()
	for ctx.Err() == nil {
		if _, err := s.store.Put(ctx, platform.ConfigurationKey, s.newestConfiguration, 0); err == nil {
			return
		}
		sleep(ctx, restartPause)
	}
}

// returnStore copies the store, and lets it return from the copy after a while. The operator writes the
// newest configuration again.
func (s *Soak) returnStore(ctx context.Context, age tier.Millis) error {
	s.drillMu.Lock()
	defer s.drillMu.Unlock()
	s.storeServer.Save(drillCopy)
	sleep(ctx, age)
	if err := s.returnFromCopy(ctx); err != nil {
		return err
	}
	defer s.history.beginDisturbance(disturbance{description: storeReturns{}.String()})()
	s.rewriteConfiguration(ctx)
	return nil
}

// freeze suspends a VM's process for a while.
func (s *Soak) freeze(ctx context.Context, v *vm, duration tier.Millis) {
	v.faultMu.Lock()
	defer v.faultMu.Unlock()
	defer s.history.beginDisturbance(disturbance{vm: v.name, description: "freeze"})()
	v.signal(syscall.SIGSTOP)
	sleep(ctx, duration)
	v.signal(syscall.SIGCONT)
}
