package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of a machine, on its own loopback address.
const (
	frontPort       = 8104
	readyPort       = 8108
	controlPort     = 8106
	storePort       = 8102
	firstPort       = 7380
	lastPort        = 7395
	graceSeconds    = 6
	recoverySeconds = 12
)

// Machine runs `cicadagraded front`, as the deploy file says.
type Machine struct {
	Name, Zone, Region, IP string
	dir, program           string
	door                   *Door
	seeds                  []string
	zones                  map[string]string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	ended   bool // a signal that ends it was sent
	ready   atomic.Bool
	misses  int
	first   bool
	Exits   []string
}

func (m *Machine) at(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

func (m *Machine) settings() string {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	quoted := make([]string, len(m.seeds))
	for k, s := range m.seeds {
		quoted[k] = fmt.Sprintf("%q", s)
	}
	p("nodeName = %q\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\",\"control\"]", m.Name)
	p("ipAddress = %q\nzone = %q\nregion = %q", m.IP, m.Zone, m.Region)
	p("internalPortRange = [%d,%d]\nseedNodes = [%s]", firstPort, lastPort, strings.Join(quoted, ","))
	p("initialBootstrap = %v\ncountsTowardTolerance = false\ndiscovery = \"platform\"\nentryPoint = \"virtual_ip\"\nheartbeatIntervalMs = 1200", m.first)
	p("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"platform\"]\n[zones]")
	for zone, region := range m.zones {
		p("%s = %q", zone, region)
	}
	p("[listenAddresses]\nfront = %q\nreadyAddress = %q\ncontrol = %q", m.at(frontPort), m.at(readyPort), m.at(controlPort))
	p("[limits]\ncpuShare = 0.4\ncpuCores = 1\nmemoryMb = 284\nfileDescriptors = 4100\nlinkMbps = 1000.0\ndiskMb = 0")
	p("[faultTolerance]\nmachines = 2\nzones = 0\nregions = 0")
	p("[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 5000\nackTimeoutMs = 6000\ncatchUpS = 4\ndrainTimeoutMs = 4000")
	p("gracePeriodS = %d\nlossSlackMs = 200\nconfigurationPropagationMs = 4000\nrollbackSlackMs = 250\nmaxExtensionMs = 15000", graceSeconds)
	p("retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 54\nrecoveryS = %d", recoverySeconds)
	p("[platform]\naddress = %q\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nminTtlMs = 1000", m.at(storePort))
	return b.String()
}

// Start starts the process.
func (m *Machine) Start(h *History) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	path := filepath.Join(m.dir, m.Name+".toml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(m.program, "front", "--balance", "even")
	c.Env = []string{"CICADAGRADE_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + m.dir}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	m.first = false
	exited := make(chan struct{})
	m.process, m.exited, m.ended = c, exited, false
	go func() {
		err := c.Wait()
		_ = log.Close()
		m.mu.Lock()
		if !m.ended {
			m.Exits = append(m.Exits, fmt.Sprint(err))
			h.Note("%s ended by itself: %v", m.Name, err)
		}
		m.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (m *Machine) Signal(s syscall.Signal) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.ended = true
	}
	_ = m.process.Process.Signal(s)
	return m.exited
}

// Kill kills the process and starts it again after a pause.
func (m *Machine) Kill(h *History, down time.Duration) error {
	h.Note("%s is killed", m.Name)
	<-m.Signal(syscall.SIGKILL)
	time.Sleep(down)
	return m.Start(h)
}

// probe asks for the readiness as the platform does.
func (m *Machine) probe(client *http.Client) {
	r, err := client.Get("http://" + m.at(readyPort) + "/readiness")
	ok := err == nil && r.StatusCode == http.StatusOK
	if err == nil {
		_ = r.Body.Close()
	}
	if ok {
		m.misses = 0
		m.ready.Store(true)
		return
	}
	if m.misses++; m.misses >= 2 {
		m.ready.Store(false)
	}
}
