package leafserver

import (
	"context"
	"strings"

	"golang.org/x/sync/errgroup"

	backendv1 "cicadagrade.example/api/backend/v1"

	"cicadagrade.example/standin/recordgenerator"
	"cicadagrade.example/tier"
)

// Fleet is all backend servers of a deployment, with one journal.
type Fleet struct {
	servers []*Server
	journal *Journal
}

// NewFleet returns a fleet of the servers of the sets. The options apply to each server.
func NewFleet(sets []*tier.ShardSet, records *recordgenerator.Generator, opts ...Option) *Fleet {
	f := &Fleet{journal: NewJournal()}
	for _, set := range sets {
		for _, b := range set.Servers() {
			f.servers = append(f.servers, New(b, set, records, f.journal, opts...))
		}
	}
	return f
}

// Servers lists the servers.
func (f *Fleet) Servers() []*Server { return f.servers }

// Journal is the servers' journal.
func (f *Fleet) Journal() *Journal { return f.journal }

// Serve runs all servers until ctx ends or one fails to listen.
func (f *Fleet) Serve(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range f.servers {
		g.Go(func() error { return s.Serve(ctx) })
	}
	return g.Wait()
}

const statePrefix = "SERVER_STATE_"

// parseState returns the state of a name such as "leaving".
func parseState(name string) (backendv1.ServerState, bool) {
	n, ok := backendv1.ServerState_value[statePrefix+strings.ToUpper(name)]
	return backendv1.ServerState(n), ok && n > 0
}

// stateName is the inverse of parseState.
func stateName(s backendv1.ServerState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), statePrefix))
}
