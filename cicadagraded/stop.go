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

// stopper shuts the VM down gracefully after a signal, or when another VM has taken its name.
type stopper struct {
	logger      *log.Logger
	clock       *tier.Clock
	gossip      *exchanger.Exchanger
	inflight    *inflight
	booker      *booker.Booker
	servers     []*http.Server
	balancerLag tier.Millis
	stopLimit   tier.Millis
	replacedBy  *queue.Queue[tier.VM] // the VM that took this VM's name
}

// Run returns once the process may exit. A second signal ends the wait for requests in flight.
func (s *stopper) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	select {
	case <-ctx.Done():
		return nil
	case <-signals:
		return errors.Wrap(s.stop(ctx, signals), "stopper.Run")
	case vm := <-s.replacedBy.Chan():
		return errors.Wrap(s.stopReplaced(ctx, signals, vm), "stopper.Run")
	}
}

// stopReplaced shuts this VM down after another VM has taken its name. It first fences the
// booker, so that no more bookings are sent.
func (s *stopper) stopReplaced(ctx context.Context, signals <-chan os.Signal, by tier.VM) error {
	s.logger.Error("replaced", "by", by.Address(), "incarnation", by.Incarnation())
	if err := s.booker.Fence(ctx); err != nil {
		return errors.Wrap(err, "stopper.stopReplaced")
	}
	if err := s.stop(ctx, signals); err != nil {
		return err
	}
	return errors.WithStack(&replacedError{by: by})
}

// replacedError reports that another VM runs under this VM's name.
type replacedError struct{ by tier.VM }

func (e *replacedError) Error() string { return "replaced by the VM at " + e.by.Address() }

// stop announces to peers and the load balancer that the VM is leaving, keeps accepting
// requests until the balancer's lag has passed, and waits for the requests in flight.
func (s *stopper) stop(ctx context.Context, signals <-chan os.Signal) error {
	start := s.clock.Now()
	s.logger.Info("stopping", "balancer-lag-ms", s.balancerLag, "limit-ms", s.stopLimit)
	s.inflight.markLeaving()
	s.gossip.SetState(tier.VMLeaving)
	ticker := time.NewTicker(stopPollInterval.Duration())
	defer ticker.Stop()
	for {
		waited := s.clock.Now() - start
		if waited >= s.balancerLag && s.inflight.idle() {
			s.logger.Info("stopped", "took-ms", waited)
			return s.shutdown(ctx)
		}
		if waited >= s.stopLimit {
			return s.abandonRequests("limit")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			return s.abandonRequests("second signal")
		case <-ticker.C:
		}
	}
}

// shutdown closes the servers gracefully, so that requests that arrived last are still
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

// flushTimeout bounds the wait for the store at the end of a graceful shutdown.
const flushTimeout = 5 * tier.Second

// flush writes the outcomes of bookings to the store. A caller that repeats an idempotency key
// whose outcome was not written is told that the outcome is unknown.
func (s *stopper) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout.Duration())
	defer cancel()
	if err := s.booker.Flush(ctx); err != nil {
		s.logger.Warn("outcomes not recorded", "error", err)
	}
}

// abandonRequests ends the shutdown with requests in flight and logs each of them.
func (s *stopper) abandonRequests(reason string) error {
	for _, name := range s.inflight.requestNames() {
		s.logger.Error("cut", "reason", reason, "request", name)
	}
	return errors.WithStack(&unfinishedError{reason: reason})
}

// unfinishedError reports that a shutdown abandoned requests in flight.
type unfinishedError struct{ reason string }

func (e *unfinishedError) Error() string { return "stopped with requests in flight: " + e.reason }
