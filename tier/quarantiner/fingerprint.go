// Package quarantiner keeps requests away from leafs (backend servers) under which several
// leafs have ended: such a request would end each further leaf that runs it.
package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Fingerprint identifies a request whose attempts are the same but for their ids.
type Fingerprint string

// fingerprintBytes is the length of the hash in a fingerprint.
const fingerprintBytes = 16

// NewFingerprint returns the fingerprint of a caller's request. The caller is part of it, so
// that a request that many callers send is not refused to all because of some.
func NewFingerprint(caller, method, host, uri string, body []byte) Fingerprint {
	h := sha256.New()
	for _, word := range []string{caller, method, host, uri} {
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
