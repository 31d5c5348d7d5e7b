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

// vm runs a booker against a store until the test ends.
func vm(t *testing.T, store *faker.Store, name string) (*booker.Booker, *tier.Clock) {
	clock := tier.NewClock()
	c := booker.New(store, name, 1, clock)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return c, clock
}

func keyOfToday(clock *tier.Clock, rest string) string {
	return fmt.Sprint(booker.KeyDate(clock), "-", rest)
}

// TestOneRunOnTwoVMs sends one key to two VMs many times at once, while the
// store loses answers.
func TestOneRunOnTwoVMs(t *testing.T) {
	store := faker.New()
	store.LoseReplies(3)
	var runs, booked atomic.Int64
	var g errgroup.Group
	var last *booker.Booker
	var clock *tier.Clock
	for v := range 2 {
		last, clock = vm(t, store, fmt.Sprint("caxias-", v+1))
		c, now := last, clock
		for range 10 {
			g.Go(func() error {
				r := booker.NewRequest(keyOfToday(now, "order"), "narocila", "r", "b", now.Now()+tier.Minute)
				o, err := c.Book(t.Context(), r, func(context.Context) tier.Outcome {
					runs.Add(1)
					return tier.NewBooked("receipt", false)
				})
				if _, ok := o.(*tier.Booked); ok {
					booked.Add(1)
				}
				return err
			})
		}
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if runs.Load() != 1 || booked.Load() == 0 {
		t.Errorf("%d runs, %d booked", runs.Load(), booked.Load())
	}
	if err := last.Flush(t.Context()); err != nil {
		t.Error(err)
	}
}

func TestStoreDownAndMintedKeys(t *testing.T) {
	store := faker.New()
	store.SetDown(true)
	c, clock := vm(t, store, "caxias-1")
	send := func(context.Context) tier.Outcome { return tier.NewBooked("receipt", false) }
	own := booker.NewRequest(keyOfToday(clock, "order"), "narocila", "r", "b", clock.Now()+50, booker.WithFirstSending())
	if o, err := c.Book(t.Context(), own, send); err != nil || o.(*tier.Refused).Reason() != tier.RefuseNoStore {
		t.Errorf("a caller's key: %v %v", o, err)
	}
	minted := booker.NewRequest(c.Mint(t.Context()), "narocila", "r", "b", clock.Now()+tier.Minute)
	if o, err := c.Book(t.Context(), minted, send); err != nil || o.(*tier.Booked).Repeated() {
		t.Errorf("a minted key: %v %v", o, err)
	}
	if n := store.Calls(faker.CallCompareAndSwap); n != 0 {
		t.Errorf("%d writes", n)
	}
}

// TestCallerGone has the caller leave while the claim waits for the store.
func TestCallerGone(t *testing.T) {
	store := faker.New()
	store.SetSlow(true)
	c, clock := vm(t, store, "caxias-1")
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error {
		r := booker.NewRequest(keyOfToday(clock, "order"), "narocila", "r", "b", clock.Now()+tier.Minute)
		_, err := c.Book(ctx, r, func(context.Context) tier.Outcome {
			t.Error("it was sent")
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
	if err := c.Flush(t.Context()); err != nil {
		t.Error(err)
	}
}
