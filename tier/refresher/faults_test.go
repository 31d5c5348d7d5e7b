package refresher

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"cicadagrade.example/tier"
)

// bounds are the greatest ages of a view while one fault is played, and while two are.
type bounds struct{ one, two tier.Millis }

// Guards against VMs that stay on an old view because several sources fail them at once: each fault of
// testdata/faults, and each pair of them, leaves the views of all VMs that could have it nearly as
// fresh as in calm.
func TestNewestViewsUnderFaults(t *testing.T) {
	playAllFaults(t, bounds{one: 1500, two: 2500})
}

// Guards against the same, with less ambition: one fault leaves views as fresh as they have to be in
// calm, and two leave a second until a change must be in force.
func TestViewsUnderFaultsLeaveTimeForChanges(t *testing.T) {
	playAllFaults(t, bounds{one: 2500, two: 3000})
}

func playAllFaults(t *testing.T, limits bounds) {
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
	for name, size := range map[string]struct {
		large, small int // VMs in each of six data centres
		pairs        bool
	}{"6": {1, 0, true}, "30": {5, 0, true}, "294": {3, 46, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for i, first := range faults {
				playFaults(t, size.large, size.small, limits.one, first)
				for _, second := range faults[i+1:] {
					if size.pairs {
						playFaults(t, size.large, size.small, limits.two, first, second)
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
