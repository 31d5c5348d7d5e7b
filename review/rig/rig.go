// Command review-rig plays the scripts of the review: it starts entry VMs as separate processes
// with the command of the deploy file, beside stand-ins of the platform's store, of leafs and of
// consumers, all on loopback addresses.
package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	healthPath = "/health"
	host       = "review.example"
	// Bounds of the site caixa-busca, as its sheet and DEPLOY.md give them.
	propagation  = 4 * time.Second
	stableWindow = 5 * time.Second
)

// run is one run of a request at a leaf.
type run struct {
	at      time.Time
	leaf    *Leaf
	attempt string
	method  string
	path    string
}

// cases are the scripts, by name.
var cases = map[string]func(*Rig){}

// background runs what serves until the process ends.
var background sync.WaitGroup

// Rig holds the processes and stand-ins of one script.
type Rig struct {
	dir, repo, temp string
	trouble         bool
	store           *Store
	storeAddress    string
	moreBounds      string // further lines of the settings
	tenants         []any  // of the configuration, or nil
	leafIP          string
	block           byte
	nextLeaf        int
	vms             []*VM
	start           time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	runs   []run
	broken int
}

// VM is an entry VM: one process.
type VM struct {
	Name   string
	IP     string
	rig    *Rig
	cmd    *exec.Cmd
	ended  chan struct{}
	config string
}

const (
	frontPort = 8104
	readyPort = 8108
	ctrlPort  = 8106
)

type couldNotRun struct{ cause error }

func (r *Rig) must(err error) {
	if err != nil {
		panic(couldNotRun{err})
	}
}

// Recordf writes a line to record.txt, with the seconds since the start.
func (r *Rig) Recordf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Brokenf records a break of the rule.
func (r *Rig) Brokenf(format string, args ...any) {
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
	r.Recordf("BROKEN "+format, args...)
}

// began records that a leaf begins to run a request.
func (r *Rig) began(l *Leaf, request *http.Request, body []byte) int {
	attempt := request.Header.Get("Attempt-Id")
	r.mu.Lock()
	r.runs = append(r.runs, run{at: time.Now(), leaf: l, attempt: attempt, method: request.Method, path: request.URL.RequestURI()})
	n := len(r.runs)
	r.mu.Unlock()
	r.Recordf("leaf %s of %s runs %s: %s %s, %d bytes, Time-Remaining %s (run %d)", l.ID, l.Service, attempt, request.Method,
		request.URL.RequestURI(), len(body), request.Header.Get("Time-Remaining"), n)
	return n
}

// runsOf lists the runs of an attempt.
func (r *Rig) runsOf(attempt string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []run
	for _, one := range r.runs {
		if one.attempt == attempt {
			list = append(list, one)
		}
	}
	return list
}

// freeBlock finds a block of loopback addresses at which no port of the VMs is taken.
func freeBlock() (byte, error) {
	for i := range 100 {
		b := byte(20 + (os.Getpid()+i*7)%200)
		free := true
		for k := 1; k <= 8 && free; k++ {
			for _, port := range []int{frontPort, readyPort, ctrlPort, 9464, 7380} {
				l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.%d:%d", b, k, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return b, nil
		}
	}
	return 0, fmt.Errorf("no free loopback addresses")
}

var zones = []string{"serra-caxias", "litoral-itajai", "oeste-chapeco"}

var regions = []string{"serra", "litoral", "oeste"}

// StartVM starts an entry VM in a zone, with the command of the deploy file.
func (r *Rig) StartVM(zone int) *VM {
	n := len(r.vms) + 1
	v := &VM{Name: fmt.Sprintf("front-%s-%d", zones[zone], n), IP: fmt.Sprintf("127.%d.0.%d", r.block, n), rig: r}
	v.config = filepath.Join(r.temp, v.Name+".toml")
	r.must(os.WriteFile(v.config, []byte(r.settings(v, zone)), 0o600))
	r.vms = append(r.vms, v)
	v.Start()
	return v
}

// Start starts the process.
func (v *VM) Start() {
	r := v.rig
	log, err := os.OpenFile(filepath.Join(r.temp, v.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	r.must(err)
	v.cmd = exec.Command(filepath.Join(r.repo, "target", "cicadagraded"), "front", "--balance", "even")
	v.cmd.Dir = r.repo
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CICADAGRADE_CONFIG=" + v.config}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.must(v.cmd.Start())
	v.ended = make(chan struct{})
	background.Go(func() {
		_ = v.cmd.Wait()
		_ = log.Close()
		close(v.ended)
	})
	r.Recordf("vm %s started", v.Name)
}

// Address is where consumers connect.
func (v *VM) Address() string { return fmt.Sprintf("%s:%d", v.IP, frontPort) }

// Alive reports whether the process runs.
func (v *VM) Alive() bool {
	select {
	case <-v.ended:
		return false
	default:
		return true
	}
}

// Ready asks the readiness check.
func (v *VM) Ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", v.IP, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until all VMs are ready.
func (r *Rig) WaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, v := range r.vms {
			all = all && v.Ready()
		}
		if all {
			r.Recordf("all VMs are ready")
			return
		}
	}
	panic(couldNotRun{fmt.Errorf("the VMs are not ready after %v", limit)})
}

// settings is the settings file of a VM, as in DEPLOY.md.
func (r *Rig) settings(v *VM, zone int) string {
	return fmt.Sprintf(`nodeName = "%s"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ipAddress = "%s"
zone = "%s"
region = "%s"
internalPortRange = [7380,7395]
seedNodes = ["127.%d.0.1:%d","127.%d.0.2:%d","127.%d.0.3:%d"]
initialBootstrap = true
countsTowardTolerance = false
discovery = "platform"
entryPoint = "virtual_ip"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
serra-caxias = "serra"
litoral-itajai = "litoral"
oeste-chapeco = "oeste"
[listenAddresses]
front = "%s:%d"
readyAddress = "%s:%d"
control = "%s:%d"
[limits]
cpuShare = 0.4
cpuCores = 1
memoryMb = 284
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 5000
ackTimeoutMs = 6000
catchUpS = 4
drainTimeoutMs = 4000
gracePeriodS = 6
lossSlackMs = 200
configurationPropagationMs = 4000
rollbackSlackMs = 250
maxExtensionMs = 15000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
recoveryS = 12
%s[platform]
address = "%s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`, v.Name, v.IP, zones[zone], regions[zone], r.block, ctrlPort, r.block, ctrlPort, r.block, ctrlPort,
		v.IP, frontPort, v.IP, readyPort, v.IP, ctrlPort, r.moreBounds, r.storeAddress)
}

// route is a route of the configuration.
type route map[string]any

// singleRoute is a route to one service.
func singleRoute(name, prefix, service, kind string, timeout, aim, attempts int) route {
	return route{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": aim,
		"priority": 2, "maxAttempts": attempts, "service": service,
	}
}

// Configure writes a configuration as the operator does, and returns the time of the store's
// confirmation.
func (r *Rig) Configure(version int64, services []string, routes ...route) time.Time {
	list := make([]map[string]any, len(services))
	for i, name := range services {
		list[i] = map[string]any{"name": name, "healthCheckPath": healthPath, "connectionLimit": 100}
	}
	configuration := map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
	}
	if r.tenants != nil {
		configuration["tenants"] = r.tenants
	}
	revision := r.store.Put("op/config", configuration)
	r.Recordf("operator: version %d is confirmed at revision %d", version, revision)
	return time.Now()
}

// answer is what a consumer got.
type answer struct {
	attempt   string
	vm        *VM
	sentAt    time.Time
	status    int // 0: none
	signature string
	body      string
	header    http.Header
	err       error
}

func newAttempt() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Send sends one request on a new connection and waits for its answer.
func (r *Rig) Send(v *VM, method, path, body string, remaining time.Duration) answer {
	a := answer{attempt: newAttempt(), vm: v, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), remaining+2*time.Second)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+v.Address()+path, reader)
	r.must(err)
	request.Host = host
	request.Header.Set("Attempt-Id", a.attempt)
	request.Header.Set("Time-Remaining", fmt.Sprint(remaining.Milliseconds()))
	r.Recordf("consumer sends %s: %s %s to %s", a.attempt, method, path, v.Name)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	response, err := client.Do(request)
	if err == nil {
		raw, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.body, a.header, a.signature, err = response.StatusCode, string(raw), response.Header, response.Header.Get("Response-Signature"), readErr
	}
	a.err = err
	r.Recordf("consumer gets %s: status %d, proof %q, body %q, error %v, after %d ms", a.attempt, a.status, a.signature, clip(a.body), err, time.Since(a.sentAt).Milliseconds())
	return a
}

func clip(s string) string {
	if len(s) > 120 {
		return s[:120] + "..."
	}
	return s
}

// main plays the case that its first argument names. The second one is the folder of the case.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// timeLimit is below the 120 s that a script may run.
const timeLimit = 110 * time.Second

func play(name, dir string) (code int) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return 2
	}
	r := &Rig{dir: dir, repo: filepath.Dir(filepath.Dir(dir)), trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	if r.file, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r.record = bufio.NewWriter(r.file)
	if r.temp, err = os.MkdirTemp("", "review-rig-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	finish := sync.OnceFunc(func() {
		for _, v := range r.vms {
			if v.cmd != nil && v.Alive() {
				_ = v.cmd.Process.Kill()
				<-v.ended
			}
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		_ = r.record.Flush()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(r.temp)
		}
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	background.Go(func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		fmt.Println("the case was ended early")
		finish()
		os.Exit(2)
	})
	defer func() {
		if p := recover(); p != nil {
			c, ok := p.(couldNotRun)
			if !ok {
				finish()
				panic(p)
			}
			r.Recordf("the case could not run: %v", c.cause)
			fmt.Println("the case could not run:", c.cause, "logs:", r.temp)
			code = 2
		}
		finish()
	}()
	r.block, err = freeBlock()
	r.must(err)
	r.leafIP = fmt.Sprintf("127.%d.1.1", r.block)
	r.store = NewStore()
	r.storeAddress = fmt.Sprintf("127.%d.2.1:8102", r.block)
	r.must(r.store.Listen(r.storeAddress))
	r.Recordf("case %s, trouble %v", name, r.trouble)
	cases[name](r)
	r.mu.Lock()
	broken := r.broken
	r.mu.Unlock()
	if broken > 0 {
		r.Recordf("verdict: the rule was broken %d times", broken)
		fmt.Printf("broken %d times, see record.txt\n", broken)
		return 1
	}
	r.Recordf("verdict: the rule held")
	fmt.Println("the rule held")
	return 0
}
