package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
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

const frontHelp = `Runs an entry VM on the users' platform: takes callers' requests, asks the leafs
of the route's services, and answers with what they say.

The settings come from the platform's file, whose path is in the environment
variable CICADAGRADE_CONFIG. A bad or missing field ends the process with exit
code 2 and a message that names the field, its value and what is allowed; unknown
fields are ignored. Routes and leafs come from the platform's store.

SIGTERM starts a planned stop: the readiness check fails, requests go on being
taken until the balancer has noticed, what is in flight is finished, and the
process exits with code 0 within the platform's grace period. SIGHUP reads the
settings again.`

// Times of a planned stop.
const (
	// balancerLag is how long the platform's balancer takes to see a failed
	// readiness check: two misses, a second apart, and a margin.
	balancerLag = 2500 * tier.Millisecond
	// stopMargin is kept from the grace period for the end of the process.
	stopMargin = 400 * tier.Millisecond
	// headerTime bounds the reading of a header from the balancer, another VM or
	// a reader of metrics; idleTime the pause between two. Callers have the
	// configuration's limits.
	headerTime = 10 * time.Second
	idleTime   = 120 * time.Second
	// memoryShare is the part of the memory limit at which the collector
	// starts to work harder.
	memoryShare = 0.6
)

// defaultMetricsPort is the port that the deploy file names.
const defaultMetricsPort = 9464

func frontCommand() *cobra.Command {
	var metricsPort int
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
			return errors.Wrap(front(c.Context(), s, metricsPort), "front")
		},
	}
	c.Flags().IntVar(&metricsPort, "metrics-port", defaultMetricsPort, "port of the metrics, on the VM's address")
	return c
}

// front serves until a planned stop.
func front(ctx context.Context, s *platform.Settings, metricsPort int) error {
	if ctx == nil {
		ctx = context.Background()
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryMB()) * memoryShare * (1 << 20)))
	clock := tier.NewClock()
	log := eventlog.New(os.Stdout, clock, "vm", s.Name())
	log.Info("starting", "callers", s.CallerAddress(), "readiness", s.ReadinessAddress(),
		"data-centre", s.DataCentre(), "store", s.StoreAddress())
	e, err := entry.New(s, clock, log)
	if err != nil {
		return errors.Wrap(err, "front")
	}

	callers, err := net.Listen("tcp", s.CallerAddress())
	if err != nil {
		return errors.Wrap(err, "front")
	}
	readiness, err := net.Listen("tcp", s.ReadinessAddress())
	if err != nil {
		return errors.Wrap(err, "front")
	}
	others, err := net.Listen("tcp", s.PeerAddress())
	if err != nil {
		return errors.Wrap(err, "front")
	}
	meters, err := net.Listen("tcp", net.JoinHostPort(s.IPAddress(), strconv.Itoa(metricsPort)))
	if err != nil {
		return errors.Wrap(err, "front")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	metrics := &http.Server{Handler: e.MetricsHandler(), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	addServer(&g, metrics, meters)
	g.Add(func() error { return log.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return e.RunRefresh(ctx) }, func(error) { cancel() })
	g.Add(func() error { return e.RunRegistration(ctx) }, func(error) { cancel() })
	g.Add(func() error { return e.RunProbes(ctx) }, func(error) { cancel() })
	peer := &http.Server{Handler: e.PeerHandler(), Protocols: entry.PeerProtocols(), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	addServer(&g, peer, others)
	server := entry.NewCallerServer(e)
	addCallers(&g, server, callers)
	check := &http.Server{Handler: e.ReadinessHandler(), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	addServer(&g, check, readiness)
	g.Add(func() error { return watchSettings(ctx, e, log) }, func(error) { cancel() })
	g.Add(func() error { return waitForStop(ctx, e, server, callers, s) }, func(error) { cancel() })
	if err := g.Run(); err != nil && !errors.Is(err, errStopped) {
		return errors.Wrap(err, "front")
	}
	e.Close()
	return nil
}

// settingsInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsInterval = 2 * time.Second

// watchSettings reads the settings again on SIGHUP, or when the file has
// changed. A file that can't be used leaves the settings as they are.
func watchSettings(ctx context.Context, e *entry.Entry, log *eventlog.Log) error {
	path := os.Getenv(platform.SettingsVariable)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	changed := modified(path)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		cause := "SIGHUP"
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
		case <-ticker.C:
			if modified(path).Equal(changed) {
				continue
			}
			cause = "file changed"
		}
		changed = modified(path)
		s, err := platform.LoadSettings(path)
		if err != nil {
			log.Warn("settings-kept", "cause", cause, "error", err)
			continue
		}
		e.Reload(s)
		log.Info("settings-read", "cause", cause)
	}
}

// modified is when the file was last written, or zero if that can't be told.
func modified(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}

// errStopped ends the group after a planned stop.
var errStopped = errors.New("stopped as planned")

// addServer serves until the group ends: a planned stop shuts the server down
// first, which must not end the group while requests are in flight.
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

// addCallers serves callers until the group ends.
func addCallers(g *run.Group, c *entry.CallerServer, l net.Listener) {
	ended := make(chan struct{})
	g.Add(func() error {
		if err := c.Serve(l); err != nil {
			return errors.Wrap(err, "addCallers")
		}
		<-ended
		return nil
	}, func(error) {
		_ = l.Close() // a planned stop has closed it already
		c.Close()
		close(ended)
	})
}

func waitForStop(ctx context.Context, e *entry.Entry, server *entry.CallerServer, l net.Listener, s *platform.Settings) error {
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
	case <-time.After(balancerLag.Duration()):
	}
	left := s.GracePeriod() - balancerLag - stopMargin
	stop, cancel := context.WithTimeout(ctx, max(left, 0).Duration())
	defer cancel()
	if err := l.Close(); err != nil {
		return errors.Wrap(err, "waitForStop")
	}
	if err := server.Shutdown(stop); err != nil {
		e.LogUnfinishedRequests(err)
	}
	return errStopped
}
