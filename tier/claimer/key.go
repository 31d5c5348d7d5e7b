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
	Retention    = 30 * tier.Day // how long a caller's own key stays valid
	Leeway       = 1 * tier.Day  // how far ahead its date may lie
)

const (
	dateLayout    = "2006-01-02"
	mintedMark    = "minted"
	keyField      = "idempotency-key"
	callerAllowed = "a date and a name, such as 2026-12-04-order-17, or a key that a VM minted"
	datedAllowed  = "a date from 30 days ago to tomorrow, in UTC"
)

var callerFormat = regexp.MustCompile(`^[0-9]{4}-[0-9]{2}-[0-9]{2}-[A-Za-z0-9._-]+$`)

// Key is an idempotency key: one that a caller made, which starts with the
// UTC date of its first sending, or one that a VM minted.
type Key struct {
	text        string
	day         tier.Millis
	vm          string
	incarnation tier.Incarnation
	counter     uint64
}

// ParseKey reads a key. Its error is a *tier.InvalidError.
func ParseKey(s string) (Key, error) {
	if len(s) <= MaxKeyLength && callerFormat.MatchString(s) {
		day, err := time.Parse(dateLayout, s[:len(dateLayout)])
		if err == nil {
			return Key{text: s, day: tier.Millis(day.UnixMilli())}, nil
		}
	}
	if id, ok := strings.CutPrefix(s, mintedMark+"/"); ok && len(s) <= MaxKeyLength {
		vm, incarnation, counter, ok := parseID(id)
		if ok {
			return Key{text: s, vm: vm, incarnation: incarnation, counter: counter}, nil
		}
	}
	return Key{}, invalidKey(s, callerAllowed)
}

// mintedKey is the counter-th key of a VM's life.
func mintedKey(vm string, i tier.Incarnation, counter uint64) Key {
	text := fmt.Sprintf("%s/%s/%d/%d", mintedMark, vm, i, counter)
	return Key{text: text, vm: vm, incarnation: i, counter: counter}
}

func invalidKey(s, allowed string) error {
	return tier.NewInvalidError("booking", []tier.FieldProblem{tier.NewFieldProblem(keyField, s, allowed)})
}

// parseID reads the form VM/INCARNATION/COUNTER and nothing but its one
// spelling.
func parseID(s string) (vm string, i tier.Incarnation, counter uint64, ok bool) {
	w := strings.Split(s, "/")
	if len(w) != 3 || !tier.ValidName(w[0]) {
		return "", 0, 0, false
	}
	life, err := strconv.ParseUint(w[1], 10, 64)
	if err != nil || strconv.FormatUint(life, 10) != w[1] {
		return "", 0, 0, false
	}
	counter, err = strconv.ParseUint(w[2], 10, 64)
	if err != nil || strconv.FormatUint(counter, 10) != w[2] {
		return "", 0, 0, false
	}
	return w[0], tier.Incarnation(life), counter, true
}

// String is the key as callers send it.
func (k Key) String() string { return k.text }

// Minted reports whether a VM minted the key.
func (k Key) Minted() bool { return k.vm != "" }

// VM is the VM that minted the key, or empty.
func (k Key) VM() string { return k.vm }

// Incarnation is the life of the VM that minted the key.
func (k Key) Incarnation() tier.Incarnation { return k.incarnation }

// tooOld reports whether the key's claim may have been dropped at a wall
// time.
func (k Key) tooOld(wall tier.Millis) bool { return k.day+tier.Day+Retention <= wall }

func (k Key) tooEarly(wall tier.Millis) bool { return k.day > wall+Leeway }

// pageKey is the store's key of the page that holds the claim.
func (k Key) pageKey(set string, pages int) string { return k.pageOn(k.day, set, pages) }

// expiredPageKey is the store's key of the same page at a date whose keys no
// VM takes any more, even if its clock is a day off.
func (k Key) expiredPageKey(set string, pages int) string {
	return k.pageOn(k.day-Retention-Leeway-2*tier.Day, set, pages)
}

func (k Key) pageOn(day tier.Millis, set string, pages int) string {
	n := xxhash.Sum64String(k.text) % uint64(pages)
	date := time.UnixMilli(int64(day)).UTC().Format(dateLayout)
	return fmt.Sprintf("%s%s/%s/%d", PagePrefix, set, date, n)
}
