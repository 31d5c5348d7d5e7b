package soaker

import (
	"context"
	"net/http"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"cicadagrade.example/standin/crowder"
	"cicadagrade.example/standin/relay"
	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

// inject injects the fault of a step, and ends it after its duration.
func (s *Soak) inject(ctx context.Context, t step) error {
	s.log.Info("fault", "fault", t.fault, "lasts-ms", int64(t.duration))
	switch f := t.fault.(type) {
	case killVMs:
		return s.killVMs(ctx, f, t.duration)
	case stopVM:
		v := s.vms[f.vm]
		defer s.history.beginDisturbance(disturbance{vm: v.name, description: f.String(), planned: true})()
		return s.withFaultLock(v, func() error { return s.stopAndRestart(ctx, v) })
	case freezeVM:
		v := s.vms[f.vm]
		s.freeze(ctx, v, t.duration)
	case crowd:
		s.sendCrowd(ctx, s.vms[f.vm], t.duration)
	case reloadVM:
		v := s.vms[f.vm]
		defer s.history.beginDisturbance(disturbance{vm: v.name, description: f.String(), planned: true})()
		if err := s.writeSettings(v); err != nil {
			return err
		}
		v.signal(syscall.SIGHUP)
	case cutStore:
		v := s.vms[f.vm]
		s.degradeLink(ctx, disturbance{vm: v.name, description: f.String()}, v.storeLink, relay.NewCondition(f.cut, 0, false), t.duration)
	case cutPeer:
		// Any VM may have had calls to this one in progress.
		s.degradeLink(ctx, disturbance{description: f.String()}, s.vms[f.vm].peerLink, relay.NewCondition(f.cut, 0, false), t.duration)
	case loseReplies:
		s.degradeLink(ctx, disturbance{description: f.String()}, s.vms[f.vm].peerLink, relay.NewCondition(relay.CutNone, 0, true), t.duration)
	case cutLeaf:
		s.degradeLink(ctx, disturbance{description: f.String(), ofLeafLinks: true}, s.leafs[f.leaf].link, relay.NewCondition(f.cut, 0, false), t.duration)
	case delayLeaf:
		s.degradeLink(ctx, disturbance{description: f.String(), ofLeafLinks: true}, s.leafs[f.leaf].link, relay.NewCondition(relay.CutNone, f.delay, false), t.duration)
	case leafFaults:
		s.setFaultModes(ctx, f, t.duration)
	case sayLeaving:
		s.sayLeaving(ctx, s.leafs[f.leaf])
	case drainLeaf:
		s.drainAndReplace(ctx, s.leafs[f.leaf])
	case reuseAddress:
		if w, _, _ := s.leafs[f.by].current(); w != nil {
			s.reuseAddress(ctx, s.leafs[f.leaf], w.Service(), t.duration)
		}
	case changeConfiguration:
		index := "a"
		if f.reshard {
			index = "b"
		}
		return s.putConfiguration(ctx, index)
	case evacuate:
		s.evacuate(ctx, f.zone, t.duration)
	case restartCold:
		if w, _, _ := s.leafs[f.leaf].current(); w != nil {
			s.leafs[f.leaf].replaceInstance(s.newInstance(s.leafs[f.leaf].zone, w.Service()))
		}
	case storeReturns:
		return s.returnStore(ctx, t.duration)
	case storeDown, storeSlow, storeLosesReplies, storeLosesHistory:
		s.breakStore(ctx, f, t.duration)
	}
	return nil
}

// killVMs kills the processes of several VMs at the same time, and restarts them.
func (s *Soak) killVMs(ctx context.Context, f killVMs, downtime tier.Millis) error {
	var g errgroup.Group
	for _, i := range f.vms {
		v := s.vms[i]
		g.Go(func() error {
			return s.withFaultLock(v, func() error {
				defer s.history.beginDisturbance(disturbance{vm: v.name, description: f.String()})()
				return s.killAndRestart(ctx, v, min(downtime, restartPause))
			})
		})
	}
	return errors.Wrap(g.Wait(), "Soak.killVMs")
}

// withFaultLock runs do while no other fault acts on the VM's process.
func (s *Soak) withFaultLock(v *vm, do func() error) error {
	v.faultMu.Lock()
	defer v.faultMu.Unlock()
	return do()
}

// degradeLink puts a link into a condition for a while. If faults of one link overlap, the
// latest one is in effect, and the first to end restores the link.
func (s *Soak) degradeLink(ctx context.Context, d disturbance, l *relay.Link, c relay.Condition, duration tier.Millis) {
	defer s.history.beginDisturbance(d)()
	l.SetCondition(c)
	sleep(ctx, duration)
	l.SetCondition(relay.NewCondition(relay.CutNone, 0, false))
}

// setFaultModes puts leafs into a fault mode for a while.
func (s *Soak) setFaultModes(ctx context.Context, f leafFaults, duration tier.Millis) {
	var group sync.WaitGroup
	for _, i := range f.leafs {
		w, _, _ := s.leafs[i].current()
		if w == nil {
			continue
		}
		group.Go(func() {
			w.SetFaultMode(f.mode)
			sleep(ctx, duration)
			w.SetFaultMode(responder.Healthy)
		})
	}
	group.Wait()
}

// breakStore has the store misbehave for a while. Faults of different kinds add up.
func (s *Soak) breakStore(ctx context.Context, f fault, duration tier.Millis) {
	defer s.history.beginDisturbance(disturbance{description: f.String()})()
	s.setStoreFault(f, true)
	sleep(ctx, duration)
	s.setStoreFault(f, false)
}

// setStoreFault begins or ends a fault of the store.
func (s *Soak) setStoreFault(f fault, on bool) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	switch f := f.(type) {
	case storeDown:
		s.storeFaults.Down = on
	case storeSlow:
		s.storeFaults.Delay = 0
		if on {
			s.storeFaults.Delay = f.delay
		}
	case storeLosesReplies:
		s.storeFaults.LoseReplies = 0
		if on {
			s.storeFaults.LoseReplies = allReplies
		}
	case storeLosesHistory:
		s.storeServer.DropHistory()
		return
	}
	s.storeServer.SetFaults(s.storeFaults)
}

// allReplies has the store lose the replies to all writes.
const allReplies = -1

// crowdSize is the number of callers of a crowd. Their bodies exceed the memory of a VM.
const crowdSize = 1500

// sendCrowd lets many callers of a VM send the largest legal body without its last byte, stay for a while, and
// come again if they are cut off.
func (s *Soak) sendCrowd(ctx context.Context, v *vm, duration tier.Millis) {
	defer s.history.beginDisturbance(disturbance{vm: v.name, description: "crowd"})()
	c := crowder.New(v.endpoint(callerPort), host, http.MethodPost, "/"+routeLine+"/", "crowd", crowdSize,
		crowder.WithBody(maxBodyBytes), crowder.ShortBy(1, 0), crowder.Returning(crowdReturns))
	var sent sync.WaitGroup
	sent.Go(c.Send)
	sleep(ctx, duration)
	c.Leave()
	sent.Wait()
}

// crowdReturns is how often a caller of a crowd comes again.
const crowdReturns = 3
