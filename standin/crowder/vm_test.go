package crowder

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Ports of a VM on its own loopback address.
const (
	callerPort    = 8104
	readinessPort = 8108
	peerPort      = 7380
)

// descriptorInterval is how often the descriptors of a process are counted.
const descriptorInterval = 5 * time.Millisecond

// daemon and commandLine are the paths of the programs.
var daemon, commandLine string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowder")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	daemon, commandLine = filepath.Join(dir, "cicadagraded"), filepath.Join(dir, "cicadagrade")
	build := exec.Command("go", "build", "-o", dir, "../../cicadagraded", "../../cicadagrade")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// vm is an entry VM that runs as a process.
type vm struct {
	name, address   string
	memoryMB        int
	fileDescriptors int
	process         *exec.Cmd
	exited          chan struct{}
	group           sync.WaitGroup

	mu              sync.Mutex
	exitErr         error
	maxDescriptors  int
	descriptorsSeen bool
}

// newVM returns the number-th entry VM of a deployment, before it is started.
func newVM(name string, number, memoryMB, fileDescriptors int) *vm {
	return &vm{
		name: name, address: fmt.Sprintf("127.%d.251.%d", 1+os.Getpid()%250, 10+number),
		memoryMB: memoryMB, fileDescriptors: fileDescriptors, exited: make(chan struct{}),
	}
}

// startFront starts the VM in a zone of the users' platform, and waits until it is ready.
func (v *vm) startFront(t *testing.T, zone, store string) {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(settings, []byte(v.settings(zone, store)), 0o600); err != nil {
		t.Fatal(err)
	}
	v.start(t, []string{"CICADAGRADE_CONFIG=" + settings}, "front", "--balance", "even")
	v.awaitReady(t, v.endpoint(readinessPort)+"/readiness")
}

// startServe starts the VM with the product's own interface. Its settings are environment variables.
func (v *vm) startServe(t *testing.T, store string) {
	t.Helper()
	v.start(t, []string{
		"CICADAGRADED_NAME=" + v.name, "CICADAGRADED_DATA_CENTRE=depot-a",
		"CICADAGRADED_API_ADDRESS=" + v.endpoint(callerPort), "CICADAGRADED_PEER_ADDRESS=" + v.endpoint(peerPort),
		"CICADAGRADED_STORE=" + store, "CICADAGRADED_MAX_BODY_BYTES=1048576",
		fmt.Sprint("CICADAGRADED_MEMORY_MB=", v.memoryMB), fmt.Sprint("CICADAGRADED_FILE_DESCRIPTORS=", v.fileDescriptors),
	}, "serve")
	v.awaitReady(t, v.endpoint(callerPort)+"/healthz/live")
}

// start starts the process.
func (v *vm) start(t *testing.T, environment []string, arguments ...string) {
	t.Helper()
	dir := t.TempDir()
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	v.process = exec.Command(daemon, arguments...)
	v.process.Env = append(environment, "PATH="+os.Getenv("PATH"), "HOME="+dir)
	v.process.Stdout, v.process.Stderr = log, log
	if err := v.process.Start(); err != nil {
		t.Fatal(err)
	}
	v.group.Go(func() {
		err := v.process.Wait()
		_ = log.Close()
		v.mu.Lock()
		v.exitErr = err
		v.mu.Unlock()
		close(v.exited)
	})
	v.group.Go(v.watchDescriptors)
	t.Cleanup(func() {
		v.kill()
		if raw, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("log of %s:\n%s", v.name, lastLines(string(raw), 15))
		}
	})
}

func lastLines(text string, n int) string {
	lines := strings.SplitAfter(text, "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "")
}

// settings is the text of the settings file, in the platform's format.
func (v *vm) settings(zone, store string) string {
	return fmt.Sprintf(`nodeName = %q
ipAddress = %q
zone = %q
region = "region-of-%s"
internalPortRange = [%d, %d]
[zones]
depot-a = "region-of-depot-a"
depot-b = "region-of-depot-b"
[listenAddresses]
front = %q
readyAddress = %q
[limits]
cpuShare = 1.0
memoryMb = %d
fileDescriptors = %d
[bounds]
gracePeriodS = 6
retryBudgetRatio = 0.2
budgetSlack = 54
[platform]
address = %q
`, v.name, v.address, zone, zone, peerPort, peerPort+15, v.endpoint(callerPort), v.endpoint(readinessPort), v.memoryMB, v.fileDescriptors, store)
}

func (v *vm) endpoint(port int) string { return net.JoinHostPort(v.address, strconv.Itoa(port)) }

// awaitReady waits until the answer at an address is 200.
func (v *vm) awaitReady(t *testing.T, address string) {
	t.Helper()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for start := time.Now(); time.Since(start) < answerTimeout; time.Sleep(10 * time.Millisecond) {
		response, err := client.Get("http://" + address)
		if err != nil {
			continue // it does not listen yet
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("%s is not ready", v.name)
}

// watchDescriptors counts the open descriptors until the process exits.
func (v *vm) watchDescriptors() {
	dir := fmt.Sprintf("/proc/%d/fd", v.process.Process.Pid)
	for {
		select {
		case <-v.exited:
			return
		case <-time.After(descriptorInterval):
		}
		if entries, err := os.ReadDir(dir); err == nil { // it fails once the process has exited
			v.mu.Lock()
			v.maxDescriptors, v.descriptorsSeen = max(v.maxDescriptors, len(entries)), true
			v.mu.Unlock()
		}
	}
}

// peakMB is the most memory that the process has held, in MB, or 0 if it has exited.
func (v *vm) peakMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmHWM:" {
			kb, _ := strconv.Atoi(f[1]) // always a number
			return kb >> 10
		}
	}
	return 0
}

// check checks that the process runs and has kept its limits.
func (v *vm) check(t *testing.T) {
	t.Helper()
	peak := v.peakMB()
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.exited:
		t.Errorf("%s has ended: %v", v.name, v.exitErr)
		return
	default:
	}
	t.Logf("%s: at most %d MB and %d descriptors", v.name, peak, v.maxDescriptors)
	if peak == 0 || peak > v.memoryMB {
		t.Errorf("%s held up to %d MB, its limit is %d", v.name, peak, v.memoryMB)
	}
	if !v.descriptorsSeen || v.maxDescriptors > v.fileDescriptors {
		t.Errorf("%s had up to %d open descriptors, its limit is %d", v.name, v.maxDescriptors, v.fileDescriptors)
	}
}

// kill ends the process.
func (v *vm) kill() {
	_ = v.process.Process.Signal(syscall.SIGKILL) // an error means that it has exited
	v.group.Wait()
}
