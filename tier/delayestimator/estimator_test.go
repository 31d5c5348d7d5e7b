package delayestimator

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"cicadagrade.example/tier"
)

// TestScriptedArrivals plays the script testdata/arrivals.txt. Its commands are
// "open CONNECTION NOW ROUND-TRIP" and "request CONNECTION NOW ROUTE LEFT", where
// LEFT is - for a caller without a limit.
func TestScriptedArrivals(t *testing.T) {
	raw, err := os.ReadFile("testdata/arrivals.txt")
	if err != nil {
		t.Fatal(err)
	}
	number := func(word string) tier.Millis {
		value, err := strconv.Atoi(word)
		if err != nil {
			t.Fatal(err)
		}
		return tier.Millis(value)
	}
	estimator, conns := New(), map[string]*Connection{}
	var out strings.Builder
	for line := range strings.Lines(string(raw)) {
		out.WriteString(line)
		switch words := strings.Fields(line); words[0] {
		case "open":
			conns[words[1]] = NewConnection(number(words[2]), number(words[3]))
		case "request":
			var left tier.Millis
			if words[4] != "-" {
				left = number(words[4])
			}
			arrival := estimator.RequestArrived(number(words[2]), conns[words[1]], words[3], left, words[4] != "-")
			fmt.Fprintf(&out, "  elapsed %d, round trip %d, retry %t\n", arrival.Elapsed(), arrival.RoundTrip(), arrival.IsRetry())
		}
	}
	goldie.New(t).Assert(t, "arrivals", []byte(out.String()))
}

func TestTrackedRoutesAreBounded(t *testing.T) {
	estimator := New()
	for i := range 3 * maxTrackedRoutes {
		estimator.RequestArrived(0, NewConnection(0, 0), strconv.Itoa(i), 1000, true)
	}
	if len(estimator.maxTimeLeft) > maxTrackedRoutes+1 {
		t.Errorf("%d routes are tracked", len(estimator.maxTimeLeft))
	}
}
