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
	callerPort    = 8104
	readinessPort = 8108
	peerPort      = 7380
)

// restartPause is how long the platform takes to restart a process.
const restartPause = 300 * tier.Millisecond

// vm is one entry VM. It runs as a process, which is restarted after kills and stops.
type vm struct {
	name, zone, address string
	dir                 string
	storeLink           *relay.Link // from the VM to the store
	peerLink            *relay.Link // from other VMs to this one
	peerListen          string      // the peer link's address

	faultMu sync.Mutex // held while a fault acts on the process

	mu           sync.Mutex
	process      *exec.Cmd
	exited       chan struct{} // closed when the process has exited
	exitExpected bool          // a signal that ends the process was sent
}

// regionByZone maps each data centre to its region.
var regionByZone = map[string]string{"depot-a": "north", "depot-b": "south", "depot-c": "west"}

var zoneNames = []string{"depot-a", "depot-b", "depot-c"}

// settings is the text of the VM's settings file, in the platform's format.
func (v *vm) settings(storeAddress string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = %q\nipAddress = %q\nzone = %q\nregion = %q\n", v.name, v.address, v.zone, regionByZone[v.zone])
	fmt.Fprintf(&b, "internalPortRange = [%d, %d]\n[zones]\n", peerPort, peerPort+15)
	for _, z := range zoneNames {
		fmt.Fprintf(&b, "%s = %q\n", z, regionByZone[z])
	}
	fmt.Fprintf(&b, "[listenAddresses]\nfront = %q\nreadyAddress = %q\n", v.endpoint(callerPort), v.endpoint(readinessPort))
	fmt.Fprintf(&b, "[limits]\ncpuShare = 1.0\nmemoryMb = %d\n", memoryLimitMB)
	fmt.Fprintf(&b, "[bounds]\ngracePeriodS = %d\nretryBudgetRatio = %g\nbudgetSlack = %d\n",
		gracePeriod/tier.Second, budgetRatio, budgetSlack)
	fmt.Fprintf(&b, "evacuationMs = %d\ncoldOverage = %g\ncoldSlack = %d\n", int64(evacuationBound), coldOverage, coldSlack)
	fmt.Fprintf(&b, "quotaWindowS = %d\nquotaOverage = %g\nquotaSlack = %d\nrevocationMs = %d\n",
		quotaWindow/tier.Second, quotaOverage, quotaSlack, int64(revocationBound))
	fmt.Fprintf(&b, "[platform]\naddress = %q\n", storeAddress)
	return b.String()
}

func (v *vm) endpoint(port int) string { return net.JoinHostPort(v.address, strconv.Itoa(port)) }

// startProcess starts a VM's process. Its log goes to a file in the VM's directory.
func (s *Soak) startProcess(v *vm) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(v.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "Soak.startProcess")
	}
	program := s.program
	s.history.update(func() {
		if len(s.history.starts[v.name]) == 0 && s.earlier != "" {
			program = s.earlier
		}
		s.history.starts[v.name] = append(s.history.starts[v.name], time.Now())
	})
	c := exec.Command(program, "front")
	c.Env = []string{"CICADAGRADE_CONFIG=" + filepath.Join(v.dir, "settings.toml"), "PATH=" + os.Getenv("PATH"), "HOME=" + v.dir}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "Soak.startProcess")
	}
	exited := make(chan struct{})
	v.process, v.exited, v.exitExpected = c, exited, false
	s.group.Go(func() error {
		err := c.Wait()
		_ = log.Close()
		v.mu.Lock()
		unexpected := !v.exitExpected
		v.mu.Unlock()
		if unexpected {
			s.history.update(func() { s.history.exits = append(s.history.exits, fmt.Sprintf("%s exited by itself: %v", v.name, err)) })
		}
		close(exited)
		return nil
	})
	return nil
}

// signal sends a signal to the VM's process. After SIGKILL and SIGTERM the exit is
// expected.
func (v *vm) signal(sig syscall.Signal) (*exec.Cmd, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		v.exitExpected = true
	}
	if v.process != nil {
		_ = v.process.Process.Signal(sig) // an error means that it has exited
	}
	return v.process, v.exited
}

// killAndRestart kills a VM's process and starts another after a pause.
func (s *Soak) killAndRestart(ctx context.Context, v *vm, downtime tier.Millis) error {
	_, exited := v.signal(syscall.SIGKILL)
	<-exited
	sleep(ctx, downtime)
	if ctx.Err() != nil {
		return nil
	}
	return s.startProcess(v)
}

// stopAndRestart stops a process as the platform does in a planned stop: it sends SIGTERM,
// and SIGKILL if the process has not exited after the grace period.
func (s *Soak) stopAndRestart(ctx context.Context, v *vm) error {
	var i int
	s.history.update(func() {
		s.history.stops = append(s.history.stops, plannedStop{vm: v.name, from: time.Now()})
		i = len(s.history.stops) - 1
	})
	c, exited := v.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(gracePeriod.Duration()):
		v.signal(syscall.SIGKILL)
		<-exited
	}
	s.history.update(func() { s.history.stops[i].to, s.history.stops[i].code = time.Now(), c.ProcessState.ExitCode() })
	sleep(ctx, restartPause)
	if ctx.Err() != nil {
		return nil
	}
	return s.startProcess(v)
}

// peakMB is the most resident memory that the VM's process has had, in MB, or 0 if it has exited.
func (v *vm) peakMB() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return 0
	}
	status, err := os.ReadFile("/proc/" + strconv.Itoa(v.process.Process.Pid) + "/status")
	if err != nil {
		return 0 // it has exited
	}
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmHWM:" {
			kb, _ := strconv.Atoi(f[1]) // always a number
			return kb >> 10
		}
	}
	return 0
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, m tier.Millis) {
	select {
	case <-ctx.Done():
	case <-time.After(m.Duration()):
	}
}
