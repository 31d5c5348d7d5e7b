package loadgenerator

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"cicadagrade.example/standin/deployer"
)

// Interval and timeout of the readiness check of each VM.
const (
	readinessInterval = 500 * time.Millisecond
	readinessTimeout  = 400 * time.Millisecond
)

// balancer simulates the platform's load balancer. It sends requests only to VMs that
// were ready at the last readiness check.
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

// poll checks the readiness of the VM with index i periodically until ctx ends.
func (b *balancer) poll(ctx context.Context, i int) error {
	t := time.NewTicker(readinessInterval)
	defer t.Stop()
	for {
		b.ready[i].Store(b.checkReady(ctx, i))
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (b *balancer) checkReady(ctx context.Context, i int) bool {
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

// pick selects round robin: n modulo the number of ready VMs among the given indices.
// If none of them is ready, it picks from all of the given indices.
func (b *balancer) pick(candidates []int, n int) int {
	var ready []int
	for _, i := range candidates {
		if b.ready[i].Load() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		ready = candidates
	}
	return ready[n%len(ready)]
}
