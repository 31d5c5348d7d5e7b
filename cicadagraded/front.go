package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/cicadagraded/entry"
	"cicadagrade.example/cicadagraded/eventlog"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
)

const frontHelp = `Runs an entry VM on the users' platform: accepts callers' requests, calls the leafs
of the route's services, and combines their replies into the answer.

The settings come from the platform's file, whose path is in the environment
variable CICADAGRADE_CONFIG. An invalid or missing field ends the process with
exit code 2 and a message that names the field, its value and what is allowed;
unknown fields are ignored. Routes and leafs come from the platform's store.

SIGTERM starts a graceful shutdown: the readiness check fails, new requests are
accepted until the load balancer has noticed, requests in flight are finished,
and the process exits with code 0 within the platform's grace period. SIGHUP
reloads the settings.`

// Timeouts and limits.
const (
	// frontHeaderTimeout bounds reading a request header from the load balancer, another VM or
	// a metrics scraper, and frontIdleTimeout the pause between two requests. The limits for
	// callers come from the configuration.
	frontHeaderTimeout = 10 * time.Second
	frontIdleTimeout   = 120 * time.Second
	// memoryLimitRatio is the Go runtime's memory limit as a fraction of the VM's limit. Above
	// it, the garbage collector runs more often.
	memoryLimitRatio = 0.6
)

// defaultMetricsPort matches the port in the deploy file.
const defaultMetricsPort = 9464

func frontCommand() *cobra.Command {
	var metricsPort int
	var balance string
	c := &cobra.Command{
		Use:   "front",
		Short: "Run an entry VM on the users' platform",
		Long:  frontHelp,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
			if err != nil {
				return errors.Wrap(err, "front")
			}
			if metricsPort < 1 || metricsPort >= 1<<16 {
				return errors.Wrap(tier.NewInvalidError("command line", []tier.FieldProblem{
					tier.NewFieldProblem("--metrics-port", metricsPort, "1 to 65535"),
				}), "front")
			}
			if !entry.Balance(balance).Valid() {
				return errors.Wrap(tier.NewInvalidError("command line", []tier.FieldProblem{
					tier.NewFieldProblem("--balance", balance, "even or latency"),
				}), "front")
			}
			return errors.Wrap(front(c.Context(), s, metricsPort, entry.Balance(balance)), "front")
		},
	}
	c.Flags().IntVar(&metricsPort, "metrics-port", defaultMetricsPort, "port on the VM's address that serves metrics")
	c.Flags().StringVar(&balance, "balance", string(entry.LatencyBalance), "how the leaf of a call is chosen: latency (least expected latency) or even (a draw by what the leafs can do)")
	return c
}

// front runs an entry VM until its graceful shutdown is finished.
func front(ctx context.Context, s *platform.Settings, metricsPort int, balance entry.Balance) error {
	if ctx == nil {
		ctx = context.Background()
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryMB()) * memoryLimitRatio * (1 << 20)))
	clock := tier.NewClock()
	log := eventlog.New(os.Stdout, clock, "vm", s.Name())
	log.Info("starting", "callers", s.CallerAddress(), "readiness", s.ReadinessAddress(),
		"data-centre", s.DataCentre(), "store", s.StoreAddress(),
		"seeds", strings.Join(s.SeedAddresses(), ","), "bootstrap", s.Bootstrap(), "balance", string(balance))
	e, err := entry.New(s, clock, log, entry.WithBalance(balance))
	if err != nil {
		return errors.Wrap(err, "front")
	}

	callerListener, err := net.Listen("tcp", s.CallerAddress())
	if err != nil {
		return errors.Wrap(err, "front")
	}
	readinessListener, err := net.Listen("tcp", s.ReadinessAddress())
	if err != nil {
		return errors.Wrap(err, "front")
	}
	peerListener, err := net.Listen("tcp", s.PeerAddress())
	if err != nil {
		return errors.Wrap(err, "front")
	}
	metricsListener, err := net.Listen("tcp", net.JoinHostPort(s.IPAddress(), strconv.Itoa(metricsPort)))
	if err != nil {
		return errors.Wrap(err, "front")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	metricsServer := &http.Server{Handler: e.MetricsHandler(), ReadHeaderTimeout: frontHeaderTimeout, IdleTimeout: frontIdleTimeout}
	addServer(&g, metricsServer, metricsListener)
	g.Add(func() error { return log.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return e.RunTurnSamples(ctx) }, func(error) { cancel() })
	g.Add(func() error { return e.RunRefresh(ctx) }, func(error) { cancel() })
	g.Add(func() error { return e.RunRegistration(ctx) }, func(error) { cancel() })
	g.Add(func() error { return e.RunProbes(ctx) }, func(error) { cancel() })
	g.Add(func() error { return e.RunLinkSurveys(ctx) }, func(error) { cancel() })
	g.Add(func() error { return e.RunEvacuations(ctx) }, func(error) { cancel() })
	g.Add(func() error { return e.RunLimitLog(ctx) }, func(error) { cancel() })
	g.Add(func() error { return e.RunUnevenLog(ctx) }, func(error) { cancel() })
	g.Add(func() error { return e.RunCrashReports(ctx) }, func(error) { cancel() })
	g.Add(func() error { return e.RunQuotaReports(ctx) }, func(error) { cancel() })
	peerServer := &http.Server{Handler: e.PeerHandler(), Protocols: entry.PeerProtocols(), ReadHeaderTimeout: frontHeaderTimeout, IdleTimeout: frontIdleTimeout}
	addServer(&g, peerServer, peerListener)
	callerServer := entry.NewCallerServer(e)
	addCallerServer(&g, callerServer, callerListener)
	readinessServer := &http.Server{Handler: e.ReadinessHandler(), ReadHeaderTimeout: frontHeaderTimeout, IdleTimeout: frontIdleTimeout}
	addServer(&g, readinessServer, readinessListener)
	g.Add(func() error { return watchSettings(ctx, e, log) }, func(error) { cancel() })
	g.Add(func() error { return waitForShutdown(ctx, e, callerServer, callerListener, peerServer, s) }, func(error) { cancel() })
	if err := g.Run(); err != nil && !errors.Is(err, errShutdownDone) {
		return errors.Wrap(err, "front")
	}
	e.Close()
	return nil
}

// settingsInterval is how often the settings file is checked for changes: it may change
// without a signal.
const settingsInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP or when the file has changed. An invalid file
// leaves the settings unchanged.
func watchSettings(ctx context.Context, e *entry.Entry, log *eventlog.Log) error {
	path := os.Getenv(platform.SettingsVariable)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	lastModified := modTime(path)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		cause := "SIGHUP"
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
		case <-ticker.C:
			if modTime(path).Equal(lastModified) {
				continue
			}
			cause = "file changed"
		}
		lastModified = modTime(path)
		s, err := platform.LoadSettings(path)
		if err != nil {
			log.Warn("settings-kept", "cause", cause, "error", err)
			continue
		}
		e.Reload(s)
		log.Info("settings-read", "cause", cause)
	}
}

// modTime returns the file's modification time, or zero if it can't be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// errShutdownDone ends the run group after a graceful shutdown.
var errShutdownDone = errors.New("graceful shutdown finished")

// addServer adds an HTTP server to the run group. Its function returns only when the group
// ends, or if serving fails.
func addServer(g *run.Group, s *http.Server, l net.Listener) {
	ended := make(chan struct{})
	g.Add(func() error {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "addServer")
		}
		<-ended
		return nil
	}, func(error) {
		_ = s.Close()
		close(ended)
	})
}

// addCallerServer adds the callers' server to the run group. A graceful shutdown closes the
// listener early. This must not end the group while requests are in flight, so the function
// waits until the group ends for another reason.
func addCallerServer(g *run.Group, c *entry.CallerServer, l net.Listener) {
	ended := make(chan struct{})
	g.Add(func() error {
		if err := c.Serve(l); err != nil {
			return errors.Wrap(err, "addCallerServer")
		}
		<-ended
		return nil
	}, func(error) {
		_ = l.Close() // a graceful shutdown has closed it already
		c.Close()
		close(ended)
	})
}

// waitForShutdown waits for a signal and shuts the VM down gracefully. It returns
// errShutdownDone after that, and nil if ctx ends first.
func waitForShutdown(ctx context.Context, e *entry.Entry, server *entry.CallerServer, l net.Listener, peers *http.Server, s *platform.Settings) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case <-ctx.Done():
		return nil
	case <-signals:
	}
	e.BeginShutdown()
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(entry.BalancerLag.Duration()):
	}
	remaining := s.GracePeriod() - entry.BalancerLag - entry.ExitMargin
	shutdownCtx, cancel := context.WithTimeout(ctx, max(remaining, 0).Duration())
	defer cancel()
	if err := l.Close(); err != nil {
		return errors.Wrap(err, "waitForShutdown")
	}
	if err := server.Shutdown(shutdownCtx); err != nil {
		e.LogUnfinishedRequests("callers", err)
	}
	if err := peers.Shutdown(shutdownCtx); err != nil {
		e.LogUnfinishedRequests("other VMs", err)
	}
	return errShutdownDone
}
