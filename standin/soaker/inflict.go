package soaker

import (
	"context"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"cicadagrade.example/standin/relay"
	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

// inflict does what a step says, and undoes it.
func (s *Soak) inflict(ctx context.Context, t step) error {
	s.log.Info("fault", "fault", t.fault, "lasts-ms", int64(t.lasts))
	switch f := t.fault.(type) {
	case kill:
		return s.kill(ctx, f, t.lasts)
	case stopVM:
		v := s.vms[f.vm]
		defer s.ledger.begin(span{vm: v.name, what: f.String(), planned: true})()
		return s.exclusive(v, func() error { return s.stopAndRestart(ctx, v) })
	case freeze:
		v := s.vms[f.vm]
		return s.exclusive(v, func() error {
			defer s.ledger.begin(span{vm: v.name, what: f.String()})()
			v.signal(syscall.SIGSTOP)
			sleep(ctx, t.lasts)
			v.signal(syscall.SIGCONT)
			return nil
		})
	case reload:
		v := s.vms[f.vm]
		defer s.ledger.begin(span{vm: v.name, what: f.String(), planned: true})()
		if err := s.writeSettings(v); err != nil {
			return err
		}
		v.signal(syscall.SIGHUP)
	case cutStore:
		v := s.vms[f.vm]
		s.bend(ctx, v.name, f.String(), v.storeLink, relay.NewCondition(f.cut, 0, false), t.lasts)
	case cutVM:
		// Every VM may have been talking to it.
		s.bend(ctx, "", f.String(), s.vms[f.vm].peerLink, relay.NewCondition(f.cut, 0, false), t.lasts)
	case muteVM:
		s.bend(ctx, "", f.String(), s.vms[f.vm].peerLink, relay.NewCondition(relay.CutNone, 0, true), t.lasts)
	case cutLeaf:
		s.bend(ctx, "", f.String(), s.leafs[f.leaf].link, relay.NewCondition(f.cut, 0, false), t.lasts)
	case slowLink:
		s.bend(ctx, "", f.String(), s.leafs[f.leaf].link, relay.NewCondition(relay.CutNone, f.delay, false), t.lasts)
	case moods:
		s.spoil(ctx, f, t.lasts)
	case drainLeaf:
		s.drain(ctx, s.leafs[f.leaf])
	case reuse:
		if w, _, _ := s.leafs[f.by].get(); w != nil {
			s.reuse(ctx, s.leafs[f.leaf], w.Service(), t.lasts)
		}
	case configure:
		index := "a"
		if f.reshard {
			index = "b"
		}
		return s.configure(ctx, index)
	case storeDown, storeSlow, storeLosing, storeForgets:
		s.upset(ctx, f, t.lasts)
	}
	return nil
}

// kill ends processes at the same moment.
func (s *Soak) kill(ctx context.Context, f kill, down tier.Millis) error {
	var g errgroup.Group
	for _, i := range f.vms {
		v := s.vms[i]
		g.Go(func() error {
			return s.exclusive(v, func() error {
				defer s.ledger.begin(span{vm: v.name, what: f.String()})()
				return s.killAndRestart(ctx, v, min(down, restartPause))
			})
		})
	}
	return errors.Wrap(g.Wait(), "Soak.kill")
}

// exclusive keeps other faults of a VM's process away meanwhile.
func (s *Soak) exclusive(v *vm, do func() error) error {
	v.busy.Lock()
	defer v.busy.Unlock()
	return do()
}

// bend changes a link for a time. Faults of one link overlap: the last to begin
// holds, and the first to end ends them all.
func (s *Soak) bend(ctx context.Context, vm, what string, l *relay.Link, c relay.Condition, lasts tier.Millis) {
	defer s.ledger.begin(span{vm: vm, what: what})()
	l.SetCondition(c)
	sleep(ctx, lasts)
	l.SetCondition(relay.NewCondition(relay.CutNone, 0, false))
}

// spoil puts leafs into a mood for a time.
func (s *Soak) spoil(ctx context.Context, f moods, lasts tier.Millis) {
	var group sync.WaitGroup
	for _, i := range f.leafs {
		w, _, _ := s.leafs[i].get()
		if w == nil {
			continue
		}
		group.Go(func() {
			w.SetFaultMode(f.mood)
			sleep(ctx, lasts)
			w.SetFaultMode(responder.Healthy)
		})
	}
	group.Wait()
}

// upset has the store misbehave for a time; two such faults add up.
func (s *Soak) upset(ctx context.Context, f fault, lasts tier.Millis) {
	defer s.ledger.begin(span{what: f.String()})()
	change := func(on bool) {
		s.storeMu.Lock()
		defer s.storeMu.Unlock()
		switch f := f.(type) {
		case storeDown:
			s.down.Down = on
		case storeSlow:
			s.down.Delay = 0
			if on {
				s.down.Delay = f.delay
			}
		case storeLosing:
			s.down.LoseReplies = 0
			if on {
				s.down.LoseReplies = allAnswers
			}
		case storeForgets:
			s.server.DropHistory()
			return
		}
		s.server.SetFaults(s.down)
	}
	change(true)
	sleep(ctx, lasts)
	change(false)
}

// allAnswers has the store lose every answer to a write.
const allAnswers = -1
