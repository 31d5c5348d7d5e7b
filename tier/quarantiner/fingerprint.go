// Package quarantiner keeps requests away from leafs (backend servers) under which several
// leafs have ended: such a request would end each further leaf that runs it.
package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strings"
)

// Fingerprint identifies requests with the same content, whoever sends them.
type Fingerprint string

// fingerprintBytes is the length of the hash in a fingerprint.
const fingerprintBytes = 16

// NewFingerprints returns the fingerprints of a request: one of its whole content and, if the
// URI has a query, one without it. What ends a leaf may lie in the path or body alone, with
// a query that differs each time, or in the query of a path that serves others well.
func NewFingerprints(method, host, uri string, body []byte) []Fingerprint {
	list := []Fingerprint{newFingerprint(method, host, uri, body)}
	if path, _, found := strings.Cut(uri, "?"); found {
		list = append(list, newFingerprint(method, host, path, body))
	}
	return list
}

func newFingerprint(method, host, uri string, body []byte) Fingerprint {
	h := sha256.New()
	for _, word := range []string{method, host, uri} {
		writeWord(h, []byte(word))
	}
	writeWord(h, body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// writeWord adds a word with its length, so that adjacent words can't run together.
func writeWord(h hash.Hash, word []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(word)))
	_, _ = h.Write(length[:])
	_, _ = h.Write(word)
}
