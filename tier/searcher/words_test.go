package searcher

import (
	"strconv"
	"strings"
	"testing"

	"cicadagrade.example/tier"
)

// parseRegions parses a list of regions of a script, or - for none.
func parseRegions(list string) tier.RegionSet {
	if list == "-" {
		return tier.RestrictedTo()
	}
	return tier.RestrictedTo(strings.Split(list, ",")...)
}

// parseInt parses a number of a script.
func parseInt(t *testing.T, word string) int {
	t.Helper()
	value, err := strconv.Atoi(word)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// parseFloat parses a decimal number of a script.
func parseFloat(t *testing.T, word string) float64 {
	t.Helper()
	value, err := strconv.ParseFloat(word, 64)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
