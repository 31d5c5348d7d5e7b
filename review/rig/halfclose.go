package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["half-close"] = halfClose }

const (
	leaverOneIn  = 4 // consumers: a share of 0.25
	leavingAfter = 100 * time.Millisecond
)

// halfClose lets some consumers give up: each ends its sending side and reads what still comes
// until the connection ends.
func halfClose(r *Rig) {
	for z := range zones {
		r.StartLeaf("contas", zones[z], 160*time.Millisecond)
	}
	r.Configure(1, []string{"contas"}, singleRoute("relatorio", "/relatorio/", "contas", "non_idempotent", 12000, 1500, 2))
	for z := range zones {
		r.StartVM(z)
	}
	r.WaitReady(15 * time.Second)
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	for k := range 120 {
		v := r.vms[k%len(r.vms)]
		leaves := r.trouble && k%leaverOneIn == 0
		group.Go(func() {
			a := r.sendRaw(v, "POST", "/relatorio/1", "pedido", 12*time.Second, leaves)
			if a.status >= 200 && a.status < 300 && a.signature == "" {
				r.Brokenf("MIXED: the consumer of %s got %d with %d bytes and without the leaf's Response-Signature", a.attempt, a.status, len(a.body))
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
}

// sendRaw sends a request on a new connection of its own. If the consumer leaves, it ends its
// sending side after leavingAfter.
func (r *Rig) sendRaw(v *VM, method, path, body string, remaining time.Duration, leaves bool) answer {
	a := answer{attempt: newAttempt(), vm: v, sentAt: time.Now()}
	c, err := net.Dial("tcp", v.Address())
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(remaining + 2*time.Second))
	r.Recordf("consumer sends %s: %s %s to %s", a.attempt, method, path, v.Name)
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Remaining: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, a.attempt, remaining.Milliseconds(), len(body), body)
	if leaves {
		time.AfterFunc(leavingAfter, func() {
			r.Recordf("consumer of %s leaves: it ends its sending side", a.attempt)
			_ = c.(*net.TCPConn).CloseWrite()
		})
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err == nil {
		raw, readErr := io.ReadAll(response.Body)
		a.status, a.body, a.header, a.signature, err = response.StatusCode, string(raw), response.Header, response.Header.Get("Response-Signature"), readErr
	}
	a.err = err
	r.Recordf("consumer gets %s: status %d, proof %q, body %q, error %v, after %d ms", a.attempt, a.status, a.signature, clip(a.body), err, time.Since(a.sentAt).Milliseconds())
	return a
}
