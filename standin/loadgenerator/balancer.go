package loadgenerator

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"cicadagrade.example/standin/deployer"
)

// Pace of the balancer's look at each VM.
const (
	readinessInterval = 500 * time.Millisecond
	readinessTimeout  = 400 * time.Millisecond
)

// balancer plays the platform's balancer: it sends to the VMs that said they
// are ready when it last looked.
type balancer struct {
	vms    []deployer.VM
	ready  []atomic.Bool
	client *http.Client
}

func newBalancer(d *deployer.Deployment) *balancer {
	b := &balancer{
		vms:    d.VMs(),
		ready:  make([]atomic.Bool, len(d.VMs())),
		client: &http.Client{Timeout: readinessTimeout},
	}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// watch looks at one VM until ctx ends.
func (b *balancer) watch(ctx context.Context, i int) error {
	t := time.NewTicker(readinessInterval)
	defer t.Stop()
	for {
		b.ready[i].Store(b.look(ctx, i))
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (b *balancer) look(ctx context.Context, i int) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.vms[i].APIAddress()+"/healthz/ready", nil)
	if err != nil {
		return false
	}
	reply, err := b.client.Do(q)
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// pick takes the n-th of the ready VMs among the given ones, or of all of
// them when none is ready.
func (b *balancer) pick(among []int, n int) int {
	var ready []int
	for _, i := range among {
		if b.ready[i].Load() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		ready = among
	}
	return ready[n%len(ready)]
}
