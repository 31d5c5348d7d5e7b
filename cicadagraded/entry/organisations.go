package entry

import (
	"crypto/rand"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/authenticator"
	"cicadagrade.example/tier/router"
	"cicadagrade.example/tier/storer"
)

// Causes of refusals.
const (
	causeUnknownKey        = "unknown-key"
	causeViewTooOldForKeys = "view-too-old-for-keys"
)

// keySecretBytes is the size of the secret of the keyed hash.
const keySecretBytes = 32

func newKeySecret() []byte {
	secret := make([]byte, keySecretBytes)
	_, _ = rand.Read(secret) // never fails
	return secret
}

// inForce holds the routing table in force and the keys of the same version.
type inForce struct {
	pointer atomic.Pointer[struct {
		table *router.Table
		keys  *authenticator.Authenticator
	}]
}

// Load returns the table, or nil if there is none.
func (f *inForce) Load() *router.Table {
	table, _ := f.LoadBoth()
	return table
}

// LoadBoth returns the table and its keys, or nil if there is none.
func (f *inForce) LoadBoth() (*router.Table, *authenticator.Authenticator) {
	p := f.pointer.Load()
	if p == nil {
		return nil, nil
	}
	return p.table, p.keys
}

// Store replaces both.
func (f *inForce) Store(table *router.Table, keys *authenticator.Authenticator) {
	f.pointer.Store(&struct {
		table *router.Table
		keys  *authenticator.Authenticator
	}{table, keys})
}

// needsKeys reports whether the configuration in force has organisations.
func (e *Entry) needsKeys() bool {
	_, keys := e.table.LoadBoth()
	return keys != nil && keys.Required()
}

// redactKeys returns a value of the store without keys of callers. A configuration that can't
// be redacted can't be decoded either, and is returned empty.
func (e *Entry) redactKeys(c storer.Value) storer.Value {
	if c.Key() != platform.ConfigurationKey || !c.Present() {
		return c
	}
	raw, err := platform.RedactKeys(c.Data())
	if err != nil {
		e.log.Warn("configuration-not-redacted", "revision", c.Revision(), "error", err)
		raw = nil
	}
	return storer.NewValue(c.Key(), raw, c.Revision())
}

// maxDuplicateLines is how many keys of two organisations get a log line.
const maxDuplicateLines = 8

// logOrganisations logs how many organisations and keys a configuration has, and the keys that
// belong to two organisations.
func (e *Entry) logOrganisations(t *router.Table, keys *authenticator.Authenticator) {
	if !keys.Required() {
		return
	}
	duplicates := keys.Duplicates()
	e.log.Info("organisations-in-force", "version", t.Version(), "organisations", len(t.Organisations()),
		"keys", keys.KeyCount(), "duplicate-keys", len(duplicates))
	for _, d := range duplicates[:min(len(duplicates), maxDuplicateLines)] {
		e.log.Warn("key-of-two-organisations", "version", t.Version(), "organisation", d.First().Name(), "ignored", d.Second().Name())
	}
}

// identify finds the organisation of a request. If the request needs a key and has none that is
// known, it responds and returns false.
func (e *Entry) identify(w http.ResponseWriter, r *http.Request, q *request, keys *authenticator.Authenticator) bool {
	if !keys.Required() {
		return true
	}
	q.needsKeys, q.weight = true, keys.Weight(nil)
	age := e.viewAge()
	if limit, strict := e.settings.Load().RevocationBound(); strict && age > limit {
		// A key of the view may have been revoked in the meantime.
		if q.route.IsPublic() {
			return true
		}
		e.refuseRequest(w, q, http.StatusServiceUnavailable, causeViewTooOldForKeys, refusalRetryAfter, "route", q.route.Name())
		return false
	}
	key, err := platform.ParseKey(r.Header)
	if err == nil {
		if o, ok := keys.Identify(key); ok {
			q.organisation, q.weight = o, keys.Weight(o)
			return true
		}
	}
	if q.route.IsPublic() {
		return true
	}
	e.unknownKeys.Add(1)
	problem := "no-such-key"
	var unreadable *platform.CredentialError
	if errors.As(err, &unreadable) {
		problem = unreadable.Problem()
	}
	if err == nil && age > staleViewAge {
		e.refuseRequest(w, q, http.StatusServiceUnavailable, causeUnknownKey, refusalRetryAfter, "route", q.route.Name(), "problem", problem)
		return false
	}
	platform.RequestKey(w.Header())
	e.refuseRequest(w, q, http.StatusUnauthorized, causeUnknownKey, 0, "route", q.route.Name(), "problem", problem)
	return false
}

// leafHeader returns the headers of a caller's request that are forwarded to leafs.
func (q *request) leafHeader(h http.Header) http.Header {
	if !q.needsKeys {
		return platform.LeafRequestHeader(h)
	}
	return platform.LeafRequestHeaderOf(h, q.organisationName())
}

// regions are the regions in which the request may be served: those that both its route and
// its organisation allow.
func (q *request) regions() tier.RegionSet {
	if q.organisation == nil {
		return q.route.Regions()
	}
	return q.route.Regions().Intersect(q.organisation.Regions())
}

// rank is the rank of the request. That of its organisation goes before that of its route.
func (q *request) rank() int {
	if q.organisation != nil {
		if rank, ok := q.organisation.Rank(); ok {
			return rank
		}
	}
	return q.route.Rank()
}

// organisationName is the name of the caller's organisation, or empty.
func (q *request) organisationName() string {
	if q.organisation == nil {
		return ""
	}
	return q.organisation.Name()
}
