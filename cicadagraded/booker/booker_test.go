package booker_test

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"

	"cicadagrade.example/cicadagraded/booker"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer/faker"
)

// startVM runs the Booker of a VM until the test ends.
func startVM(t *testing.T, store *faker.Store, name string) (*booker.Booker, *tier.Clock) {
	clock := tier.NewClock()
	b := booker.New(store, name, 1, clock)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return b.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return b, clock
}

// callerKey returns a caller's own idempotency key for the current date.
func callerKey(clock *tier.Clock, name string) string {
	return fmt.Sprint(booker.KeyDate(clock), "-", name)
}

// One key is sent to two VMs many times at once, while the store loses some replies. The
// booking must run exactly once.
func TestOneRunOnTwoVMs(t *testing.T) {
	store := faker.New()
	store.LoseReplies(3)
	var runCount, bookedCount atomic.Int64
	var g errgroup.Group
	var last *booker.Booker
	var clock *tier.Clock
	for v := range 2 {
		last, clock = startVM(t, store, fmt.Sprint("caxias-", v+1))
		b, now := last, clock
		for range 10 {
			g.Go(func() error {
				r := booker.NewRequest(callerKey(now, "order"), "narocila", "r", "b", now.Now()+tier.Minute)
				o, err := b.Book(t.Context(), r, func(context.Context) tier.Outcome {
					runCount.Add(1)
					return tier.NewBooked("receipt", false)
				})
				if _, ok := o.(*tier.Booked); ok {
					bookedCount.Add(1)
				}
				return err
			})
		}
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if runCount.Load() != 1 || bookedCount.Load() == 0 {
		t.Errorf("run %d times, want once; %d requests booked, want some", runCount.Load(), bookedCount.Load())
	}
	if err := last.Flush(t.Context()); err != nil {
		t.Error(err)
	}
}

// While the store is down, a booking with a caller's own key is refused, and one with a
// minted key runs without a write to the store.
func TestStoreDownAndMintedKeys(t *testing.T) {
	store := faker.New()
	store.SetDown(true)
	b, clock := startVM(t, store, "caxias-1")
	send := func(context.Context) tier.Outcome { return tier.NewBooked("receipt", false) }
	callerRequest := booker.NewRequest(callerKey(clock, "order"), "narocila", "r", "b", clock.Now()+50, booker.WithFirstSending())
	if o, err := b.Book(t.Context(), callerRequest, send); err != nil || o.(*tier.Refused).Reason() != tier.RefuseNoStore {
		t.Errorf("a caller's key: %v %v", o, err)
	}
	mintedRequest := booker.NewRequest(b.Mint(t.Context()), "narocila", "r", "b", clock.Now()+tier.Minute)
	if o, err := b.Book(t.Context(), mintedRequest, send); err != nil || o.(*tier.Booked).Repeated() {
		t.Errorf("a minted key: %v %v", o, err)
	}
	if n := store.Calls(faker.CallCompareAndSwap); n != 0 {
		t.Errorf("%d writes to the store, want none", n)
	}
}

// The caller leaves while the claim waits for the store. The booking must not be sent.
func TestCallerGone(t *testing.T) {
	store := faker.New()
	store.SetSlow(true)
	b, clock := startVM(t, store, "caxias-1")
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error {
		r := booker.NewRequest(callerKey(clock, "order"), "narocila", "r", "b", clock.Now()+tier.Minute)
		_, err := b.Book(ctx, r, func(context.Context) tier.Outcome {
			t.Error("the booking was sent")
			return nil
		})
		return err
	})
	for store.Calls(faker.CallGet) < 2 {
		runtime.Gosched()
	}
	cancel()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	store.SetSlow(false)
	if err := b.Flush(t.Context()); err != nil {
		t.Error(err)
	}
}
