package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"cicadagrade.example/standin/storeserver"
	"cicadagrade.example/tier"
)

const storeHelp = `store simulates the platform's metadata store: an in-memory store, empty at
first, that speaks the store's protocol (/kv-key, /kv-range, /kv-watch,
/kv-txn, /kv-lease) until it gets SIGINT or SIGTERM.

Faults are set over HTTP while it runs:

  GET  /faults           show the faults
  PUT  /faults           replace them: {"down": true, "delay-ms": 500,
                         "lose-answers": 1, "stale": true}, each optional;
                         lose-answers is the number of next writes that
                         take effect without an answer (-1: all writes)
  POST /faults/save      save a copy of all keys: {"copy": "monday"}
  POST /faults/restart   restart empty: {}, or from a saved copy:
                         {"copy": "monday"}

Calls are counted by kind; a watch counts as one call:

  GET    /calls          show the counts
  DELETE /calls          reset the counts`

func storeCommand() *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use:   "store",
		Short: "Simulate the platform's metadata store",
		Long:  storeHelp,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return serveStore(ctx, c, listen)
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:2379", "IP address and port to listen on")
	return c
}

func serveStore(ctx context.Context, c *cobra.Command, listen string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "store listening on %s\n", l.Addr())
	server := &http.Server{Handler: storeserver.New(tier.NewClock()), ReadHeaderTimeout: 10 * time.Second}
	var g run.Group
	g.Add(func() error { return server.Serve(l) }, func(error) { _ = server.Close() })
	done, stop := context.WithCancel(ctx)
	g.Add(func() error { <-done.Done(); return nil }, func(error) { stop() })
	return g.Run()
}
