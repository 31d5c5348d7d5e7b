package refresher

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"cicadagrade.example/tier"
)

// Bounds of the age of a view, far below the 4 s in which a change must be in force.
const (
	maxAgeUnderFault  = 1500 * tier.Millisecond
	maxAgeUnderFaults = 2500 * tier.Millisecond
)

// Guards against VMs that stay on an old view because several sources fail them at once: each fault of
// testdata/faults, and each pair of them, leaves the views of all VMs that could have it nearly as
// fresh as in calm.
func TestNewestViewsUnderFaults(t *testing.T) {
	raw, err := os.ReadFile("testdata/faults/list.txt")
	if err != nil {
		t.Fatal(err)
	}
	var faults []string
	for line := range strings.Lines(string(raw)) {
		if line = strings.TrimSpace(line); !strings.HasPrefix(line, "#") {
			faults = append(faults, line)
		}
	}
	// With 3 large VMs in each of six data centres, the others are small.
	for name, size := range map[string]struct {
		large, small int
		pairs        bool
	}{"6": {1, 0, true}, "30": {5, 0, true}, "294": {3, 46, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i, first := range faults {
				playFaults(t, size.large, size.small, maxAgeUnderFault, first)
				for _, second := range faults[i+1:] {
					if size.pairs {
						playFaults(t, size.large, size.small, maxAgeUnderFaults, first, second)
					}
				}
			}
		})
	}
}

// playFaults plays faults that begin one shortly after the other.
func playFaults(t *testing.T, large, small int, bound tier.Millis, faults ...string) {
	s := newFleet(t)
	s.command(strings.Fields(fmt.Sprintf("fleet %d %d", large, small)))
	s.command(strings.Fields("run 12000"))
	s.command([]string{"reset"})
	for i, f := range faults {
		s.command(append([]string{"at", fmt.Sprint(12000 + 300*i)}, strings.Fields(f)...))
	}
	s.command(strings.Fields("run 24000"))
	if s.fleetAge > bound {
		t.Errorf("%s: a view is %d ms old, at most %d", strings.Join(faults, " and "), s.fleetAge, bound)
	}
}
