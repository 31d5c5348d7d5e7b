package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["unproved"] = unproved }

const (
	spoiledOneIn   = 50 // answers of a leaf: x = 0.02
	spoiledLeafs   = 3  // of 7: a share of 0.43
	spoiledFor     = 5500 * time.Millisecond
	spoiledPerSecs = 100
)

// unproved lets leafs spoil some of their answers: one byte in the name of the header with the
// proof is wrong, so that the answer bears no proof.
func unproved(r *Rig) {
	var spoiling atomic.Bool
	var mu sync.Mutex
	var answers, spoiled int // of the leafs that spoil, while they do
	for k := range 7 {
		l := r.NewLeaf("contas", zones[[]int{0, 0, 0, 1, 1, 2, 2}[k]], 20*time.Millisecond)
		if k < spoiledLeafs {
			l.Answer = func(c net.Conn, attempt string) bool {
				if !spoiling.Load() {
					return false
				}
				mu.Lock()
				answers++
				due := (spoiled+1)*spoiledOneIn <= answers
				if due {
					spoiled++
				}
				mu.Unlock()
				if !due {
					return false
				}
				r.Recordf("leaf %s spoils its answer to %s: a byte of its head is wrong", l.ID, attempt)
				text := fmt.Sprintf("service=%s leaf=%s attempt=%s", l.Service, l.ID, attempt)
				writeAnswer(c, "200 OK", "Attempt-Id: "+attempt+"\r\nKeep-Alive: timeout=5\r\nResponse-Signatur!: "+signature(l, attempt)+"\r\n", []byte(text))
				return true
			}
		}
		l.Register("ready")
	}
	r.Configure(1, []string{"contas"}, singleRoute("relatorio", "/relatorio/", "contas", "non_idempotent", 12000, 1500, 2))
	for z := range zones {
		r.StartVM(z)
	}
	r.WaitReady(15 * time.Second)
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	send := func(n int) {
		for k := range n {
			v := r.vms[k%len(r.vms)]
			group.Go(func() {
				a := r.Send(v, "POST", "/relatorio/1", "pedido", 12*time.Second)
				if a.status >= 200 && a.status < 300 && a.signature == "" {
					r.Brokenf("MIXED: the consumer of %s got %d without the leaf's Response-Signature", a.attempt, a.status)
				}
			})
			time.Sleep(time.Second / spoiledPerSecs)
		}
	}
	send(5 * spoiledPerSecs)
	spoiling.Store(r.trouble)
	send(int(spoiledFor.Seconds() * spoiledPerSecs))
	spoiling.Store(false)
	send(spoiledPerSecs)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.Recordf("the leafs that spoil gave %d answers meanwhile and spoilt %d of them", answers, spoiled)
}
