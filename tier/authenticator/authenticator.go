// Package authenticator finds the organisation to which a caller's key belongs.
package authenticator

import (
	"crypto/hmac"
	"crypto/sha256"

	"cicadagrade.example/tier/router"
)

// digest is the keyed hash of a key's SHA-256 digest.
type digest [sha256.Size]byte

// Authenticator holds the keys of one version of the configuration. It is immutable.
//
// It compares keyed hashes only. Callers don't know the secret, so the time that a look-up
// takes tells nothing of how much of a key is correct.
type Authenticator struct {
	secret        []byte
	byDigest      map[digest]*router.Organisation
	byName        map[string]*router.Organisation
	duplicates    []Duplicate
	organisations int
	meanRate      float64
}

// Duplicate is a key that two organisations have.
type Duplicate struct {
	first, second *router.Organisation
}

// First is the organisation to which the key belongs.
func (d Duplicate) First() *router.Organisation { return d.first }

// Second is the later organisation that lists the same key.
func (d Duplicate) Second() *router.Organisation { return d.second }

// New returns the authenticator of some organisations. secret is random and belongs to the
// process.
func New(secret []byte, organisations []*router.Organisation) *Authenticator {
	a := &Authenticator{secret: secret, byDigest: map[digest]*router.Organisation{}, byName: map[string]*router.Organisation{}, organisations: len(organisations)}
	limited := 0
	for _, o := range organisations {
		if _, ok := a.byName[o.Name()]; !ok {
			a.byName[o.Name()] = o
		}
		for _, key := range o.Keys() {
			plain := sha256.Sum256([]byte(key))
			a.add(plain[:], o)
		}
		for _, known := range o.KeyDigests() {
			a.add(known, o)
		}
		if o.PerSecond() > 0 {
			a.meanRate += o.PerSecond()
			limited++
		}
	}
	if limited == 0 {
		a.meanRate = 1 // all weights are equal
		return a
	}
	a.meanRate /= float64(limited)
	return a
}

// add adds a key by its SHA-256 digest, unless an earlier organisation has it.
func (a *Authenticator) add(plain []byte, o *router.Organisation) {
	d := a.hash(plain)
	first, ok := a.byDigest[d]
	switch {
	case !ok:
		a.byDigest[d] = o
	case first != o:
		a.duplicates = append(a.duplicates, Duplicate{first: first, second: o})
	}
}

func (a *Authenticator) hash(plain []byte) digest {
	var d digest
	mac := hmac.New(sha256.New, a.secret)
	_, _ = mac.Write(plain)
	mac.Sum(d[:0])
	return d
}

// Required reports whether the configuration has organisations, so that requests need a key.
func (a *Authenticator) Required() bool { return a.organisations > 0 }

// Identify returns the organisation to which a key belongs, and false if it is unknown.
func (a *Authenticator) Identify(key string) (*router.Organisation, bool) {
	plain := sha256.Sum256([]byte(key))
	o, ok := a.byDigest[a.hash(plain[:])]
	return o, ok
}

// Named returns the first organisation of a name, and false if there is none.
func (a *Authenticator) Named(name string) (*router.Organisation, bool) {
	o, ok := a.byName[name]
	return o, ok
}

// Weight is the weight of the requests of an organisation, or of those without one if o is
// nil: its rate, or the mean of all rates.
func (a *Authenticator) Weight(o *router.Organisation) float64 {
	if o != nil && o.PerSecond() > 0 {
		return o.PerSecond()
	}
	return a.meanRate
}

// KeyCount is the number of different keys.
func (a *Authenticator) KeyCount() int { return len(a.byDigest) }

// Duplicates are the keys that belong to several organisations, of which the first one has
// them.
func (a *Authenticator) Duplicates() []Duplicate { return a.duplicates }
