package claimer

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadagrade.example/tier"
)

// Bounds of idempotency keys.
const (
	MaxKeyLength = 128
	Retention    = 30 * tier.Day // how long a caller-made key stays valid, from its date
	Leeway       = 1 * tier.Day  // how far in the future a key's date may be
)

const (
	dateLayout   = "2006-01-02"
	mintedPrefix = "minted"
	keyField     = "idempotency-key"
	allowedKeys  = "a date and a name, such as 2026-12-04-order-17, or a key that a VM minted"
	allowedDates = "a date from 30 days ago to tomorrow, in UTC"
)

var callerFormat = regexp.MustCompile(`^[0-9]{4}-[0-9]{2}-[0-9]{2}-[A-Za-z0-9._-]+$`)

// Key is an idempotency key, either made by a caller, in which case it starts with the
// UTC date of its first submission, or minted by a VM.
type Key struct {
	text        string
	day         tier.Millis // start of the date of a caller-made key, Unix time
	vm          string
	incarnation tier.Incarnation
	counter     uint64 // numbers the keys minted by one incarnation
}

// ParseKey parses a key. Its error is a *tier.InvalidError.
func ParseKey(s string) (Key, error) {
	if len(s) <= MaxKeyLength && callerFormat.MatchString(s) {
		day, err := time.Parse(dateLayout, s[:len(dateLayout)])
		if err == nil {
			return Key{text: s, day: tier.Millis(day.UnixMilli())}, nil
		}
	}
	if id, ok := strings.CutPrefix(s, mintedPrefix+"/"); ok && len(s) <= MaxKeyLength {
		vm, incarnation, counter, ok := parseID(id)
		if ok {
			return Key{text: s, vm: vm, incarnation: incarnation, counter: counter}, nil
		}
	}
	return Key{}, invalidKey(s, allowedKeys)
}

// mintedKey returns the counter-th key minted by an incarnation of a VM.
func mintedKey(vm string, i tier.Incarnation, counter uint64) Key {
	text := fmt.Sprintf("%s/%s/%d/%d", mintedPrefix, vm, i, counter)
	return Key{text: text, vm: vm, incarnation: i, counter: counter}
}

func invalidKey(s, allowed string) error {
	return tier.NewInvalidError("booking", []tier.FieldProblem{tier.NewFieldProblem(keyField, s, allowed)})
}

// parseID parses VM/INCARNATION/COUNTER. It accepts only the canonical spelling, without
// leading zeros.
func parseID(s string) (vm string, i tier.Incarnation, counter uint64, ok bool) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 || !tier.ValidName(parts[0]) {
		return "", 0, 0, false
	}
	number, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil || strconv.FormatUint(number, 10) != parts[1] {
		return "", 0, 0, false
	}
	counter, err = strconv.ParseUint(parts[2], 10, 64)
	if err != nil || strconv.FormatUint(counter, 10) != parts[2] {
		return "", 0, 0, false
	}
	return parts[0], tier.Incarnation(number), counter, true
}

// String is the key as callers send it.
func (k Key) String() string { return k.text }

// Minted reports whether a VM minted the key.
func (k Key) Minted() bool { return k.vm != "" }

// VM is the VM that minted the key, or empty.
func (k Key) VM() string { return k.vm }

// Incarnation is the incarnation of the VM that minted the key.
func (k Key) Incarnation() tier.Incarnation { return k.incarnation }

// expired reports whether, at a wall time, the page that holds the key's claim may have
// been deleted.
func (k Key) expired(wall tier.Millis) bool { return k.day+tier.Day+Retention <= wall }

func (k Key) tooFarAhead(wall tier.Millis) bool { return k.day > wall+Leeway }

// pageKey returns the store key of the page that holds the claim.
func (k Key) pageKey(set string, pages int) string { return k.pageKeyOn(k.day, set, pages) }

// expiredPageKey returns the store key of the corresponding page for an earlier date,
// whose keys every VM rejects as expired even if its clock is a day off.
func (k Key) expiredPageKey(set string, pages int) string {
	return k.pageKeyOn(k.day-Retention-Leeway-2*tier.Day, set, pages)
}

func (k Key) pageKeyOn(day tier.Millis, set string, pages int) string {
	n := xxhash.Sum64String(k.text) % uint64(pages)
	date := time.UnixMilli(int64(day)).UTC().Format(dateLayout)
	return fmt.Sprintf("%s%s/%s/%d", PagePrefix, set, date, n)
}
