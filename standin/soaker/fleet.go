package soaker

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/standin/relay"
	"cicadagrade.example/tier"
)

// Ports of a VM on its own loopback address.
const (
	callersPort   = 8104
	readinessPort = 8108
	peerPort      = 7380
)

// restartPause is how long the platform takes to start a process again.
const restartPause = 300 * tier.Millisecond

// vm is one entry VM, run as a process. Its processes come one after another.
type vm struct {
	name, zone, address string
	dir                 string
	storeLink           *relay.Link // from the VM to the store
	peerLink            *relay.Link // from other VMs to it
	peerListen          string

	busy sync.Mutex // held by a fault of its process

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	wanted  bool          // that it ends is no surprise
}

// zones are the data centres and their regions.
var zones = map[string]string{"depot-a": "north", "depot-b": "south", "depot-c": "west"}

var zoneNames = []string{"depot-a", "depot-b", "depot-c"}

// settings are those of the platform's file.
func (v *vm) settings(store string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = %q\nipAddress = %q\nzone = %q\nregion = %q\n", v.name, v.address, v.zone, zones[v.zone])
	fmt.Fprintf(&b, "internalPortRange = [%d, %d]\n[zones]\n", peerPort, peerPort+15)
	for _, z := range zoneNames {
		fmt.Fprintf(&b, "%s = %q\n", z, zones[z])
	}
	fmt.Fprintf(&b, "[listenAddresses]\nfront = %q\nreadyAddress = %q\n", v.at(callersPort), v.at(readinessPort))
	fmt.Fprintf(&b, "[limits]\ncpuShare = 1.0\nmemoryMb = %d\n", memoryLimit)
	fmt.Fprintf(&b, "[bounds]\ngracePeriodS = %d\nretryBudgetRatio = %g\nbudgetSlack = %d\n",
		gracePeriod/tier.Second, budgetRatio, budgetSlack)
	fmt.Fprintf(&b, "[platform]\naddress = %q\n", store)
	return b.String()
}

func (v *vm) at(port int) string { return net.JoinHostPort(v.address, strconv.Itoa(port)) }

// start runs a process, whose log goes to a file of the VM's directory.
func (s *Soak) start(v *vm) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(v.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "Soak.start")
	}
	c := exec.Command(s.program, "front")
	c.Env = []string{"CICADAGRADE_CONFIG=" + filepath.Join(v.dir, "settings.toml"), "PATH=" + os.Getenv("PATH"), "HOME=" + v.dir}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "Soak.start")
	}
	ended := make(chan struct{})
	v.process, v.ended, v.wanted = c, ended, false
	s.group.Go(func() error {
		err := c.Wait()
		_ = log.Close()
		v.mu.Lock()
		surprise := !v.wanted
		v.mu.Unlock()
		if surprise {
			s.ledger.update(func() { s.ledger.exits = append(s.ledger.exits, fmt.Sprintf("%s ended by itself: %v", v.name, err)) })
		}
		close(ended)
		return nil
	})
	return nil
}

// signal sends a signal to the VM's process; one that ends it is expected to.
func (v *vm) signal(sig syscall.Signal) (*exec.Cmd, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		v.wanted = true
	}
	if v.process != nil {
		_ = v.process.Process.Signal(sig) // it may have ended
	}
	return v.process, v.ended
}

// killAndRestart ends a process without warning and starts another.
func (s *Soak) killAndRestart(ctx context.Context, v *vm, down tier.Millis) error {
	_, ended := v.signal(syscall.SIGKILL)
	<-ended
	sleep(ctx, down)
	if ctx.Err() != nil {
		return nil
	}
	return s.start(v)
}

// stopAndRestart stops a process as planned; the platform kills it if the grace
// period is over.
func (s *Soak) stopAndRestart(ctx context.Context, v *vm) error {
	var i int
	s.ledger.update(func() {
		s.ledger.stops = append(s.ledger.stops, stop{vm: v.name, from: time.Now()})
		i = len(s.ledger.stops) - 1
	})
	c, ended := v.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(gracePeriod.Duration()):
		v.signal(syscall.SIGKILL)
		<-ended
	}
	s.ledger.update(func() { s.ledger.stops[i].to, s.ledger.stops[i].code = time.Now(), c.ProcessState.ExitCode() })
	sleep(ctx, restartPause)
	if ctx.Err() != nil {
		return nil
	}
	return s.start(v)
}

// memory is what a process holds, in MB, or 0 if it has ended.
func (v *vm) memory() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return 0
	}
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(v.process.Process.Pid) + "/status")
	if err != nil {
		return 0 // it has ended
	}
	for line := range strings.Lines(string(raw)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1]) // the kernel writes a number
			return kb >> 10
		}
	}
	return 0
}

func sleep(ctx context.Context, m tier.Millis) {
	select {
	case <-ctx.Done():
	case <-time.After(m.Duration()):
	}
}
