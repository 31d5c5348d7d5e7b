package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
)

// links are the links to VMs: each VM is reached by the others through a proxy of its own, whose
// address takes the place of the VM's in the registration that they read in the store.
type links struct {
	rig    *Rig
	mu     sync.Mutex
	byName map[string]*link
}

// link is the proxy in front of one VM's port for other VMs.
type link struct {
	target  string
	address string

	mu          sync.Mutex
	cut         bool
	connections map[net.Conn]bool
}

const (
	peerPort         = 7380
	registrationsKey = "cicadagrade/vms/"
)

// useLinks puts a proxy in front of each VM that registers from now on.
func (r *Rig) useLinks() *links {
	l := &links{rig: r, byName: map[string]*link{}}
	r.store.rewrite = l.rewrite
	return l
}

// rewrite replaces the address in a VM's registration.
func (l *links) rewrite(key string, value []byte) []byte {
	name, ok := strings.CutPrefix(key, registrationsKey)
	if !ok {
		return value
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byName[name] == nil {
		for _, v := range l.rig.vms {
			if v.Name == name {
				l.byName[name] = l.rig.openLink(v)
			}
		}
	}
	if k := l.byName[name]; k != nil {
		return []byte(strings.Replace(string(value), k.target, k.address, 1))
	}
	return value
}

// CutReplies cuts the connections of other VMs to a VM one way: it gets what they send, and they get
// nothing from it. At the end these connections are closed.
func (l *links) CutReplies(v *VM, cut bool) {
	l.mu.Lock()
	k := l.byName[v.Name]
	l.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	if !cut {
		for c := range k.connections {
			_ = c.Close()
		}
	}
}

func (r *Rig) openLink(v *VM) *link {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.3.1:0", r.block))
	r.must(err)
	k := &link{target: fmt.Sprintf("%s:%d", v.IP, peerPort), address: listener.Addr().String(), connections: map[net.Conn]bool{}}
	background.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			background.Go(func() { k.relay(c) })
		}
	})
	return k
}

// relay passes bytes on in both directions until one side ends.
func (k *link) relay(c net.Conn) {
	defer func() { _ = c.Close() }()
	d, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	k.mu.Lock()
	k.connections[c] = true
	k.mu.Unlock()
	background.Go(func() {
		_, _ = io.Copy(d, c)
		_ = d.Close()
	})
	buffer := make([]byte, 32<<10)
	for {
		n, err := d.Read(buffer)
		k.mu.Lock()
		cut := k.cut
		k.mu.Unlock()
		if !cut && n > 0 {
			if _, writeErr := c.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = d.Close()
	k.mu.Lock()
	delete(k.connections, c)
	k.mu.Unlock()
}
