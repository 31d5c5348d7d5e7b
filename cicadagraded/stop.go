package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/booker"
	"cicadagrade.example/cicadagraded/exchanger"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/queue"
)

// stopper is the duty that waits for a signal and stops the VM as planned.
type stopper struct {
	logger      *log.Logger
	clock       *tier.Clock
	gossip      *exchanger.Exchanger
	inflight    *inflight
	booker      *booker.Booker
	servers     []*http.Server
	balancerLag tier.Millis
	stopLimit   tier.Millis
	replaced    *queue.Queue[tier.VM] // who took this VM's name
}

// Run returns once the VM may exit. A second signal ends the waiting.
func (s *stopper) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	select {
	case <-ctx.Done():
		return nil
	case <-signals:
		return errors.Wrap(s.stop(ctx, signals), "stopper.Run")
	case vm := <-s.replaced.Chan():
		return errors.Wrap(s.yield(ctx, signals, vm), "stopper.Run")
	}
}

// yield stops this VM as planned after another took its name, and sends no more
// bookings.
func (s *stopper) yield(ctx context.Context, signals <-chan os.Signal, by tier.VM) error {
	s.logger.Error("replaced", "by", by.Address(), "incarnation", by.Incarnation())
	if err := s.booker.Fence(ctx); err != nil {
		return errors.Wrap(err, "stopper.yield")
	}
	if err := s.stop(ctx, signals); err != nil {
		return err
	}
	return errors.WithStack(&replacedError{by: by})
}

// replacedError says that another VM runs under this one's name.
type replacedError struct{ by tier.VM }

func (e *replacedError) Error() string { return "replaced by the VM at " + e.by.Address() }

// stop tells peers and the balancer, goes on accepting until both have heard,
// and waits for what is in flight.
func (s *stopper) stop(ctx context.Context, signals <-chan os.Signal) error {
	began := s.clock.Now()
	s.logger.Info("stopping", "balancer-lag-ms", s.balancerLag, "limit-ms", s.stopLimit)
	s.inflight.leave()
	s.gossip.SetState(tier.VMLeaving)
	ticker := time.NewTicker(stopPoll.Duration())
	defer ticker.Stop()
	for {
		waited := s.clock.Now() - began
		if waited >= s.balancerLag && s.inflight.idle() {
			s.logger.Info("stopped", "took-ms", waited)
			return s.shutdown(ctx)
		}
		if waited >= s.stopLimit {
			return s.cut("limit")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			return s.cut("second signal")
		case <-ticker.C:
		}
	}
}

// shutdown closes the servers, so that a request that came last is still
// answered, and records the outcomes of bookings.
func (s *stopper) shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.stopLimit.Duration())
	defer cancel()
	for _, h := range s.servers {
		if err := h.Shutdown(ctx); err != nil {
			return errors.Wrap(err, "stopper.shutdown")
		}
	}
	s.flush(ctx)
	return nil
}

// flushLimit bounds the wait for the store at the end of a planned stop.
const flushLimit = 5 * tier.Second

// flush records the outcomes of bookings. Those that the store does not take
// are unknown to whoever asks again with the same key.
func (s *stopper) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushLimit.Duration())
	defer cancel()
	if err := s.booker.Flush(ctx); err != nil {
		s.logger.Warn("outcomes not recorded", "error", err)
	}
}

// cut ends the stop with work in flight and logs each request that it cuts.
func (s *stopper) cut(reason string) error {
	for _, r := range s.inflight.list() {
		s.logger.Error("cut", "reason", reason, "request", r)
	}
	return errors.WithStack(&cutError{reason: reason})
}

// cutError says that a planned stop cut off requests in flight.
type cutError struct{ reason string }

func (e *cutError) Error() string { return "stopped with requests in flight: " + e.reason }
