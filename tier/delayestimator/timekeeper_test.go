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

// TestTrips plays connections and requests: "open CONNECTION NOW TRIP" and
// "ask CONNECTION NOW ROUTE LEFT".
func TestTrips(t *testing.T) {
	raw, err := os.ReadFile("testdata/trips.txt")
	if err != nil {
		t.Fatal(err)
	}
	number := func(word string) tier.Millis {
		n, err := strconv.Atoi(word)
		if err != nil {
			t.Fatal(err)
		}
		return tier.Millis(n)
	}
	k, conns := New(), map[string]*Connection{}
	var out strings.Builder
	for line := range strings.Lines(string(raw)) {
		out.WriteString(line)
		switch f := strings.Fields(line); f[0] {
		case "open":
			conns[f[1]] = NewConnection(number(f[2]), number(f[3]))
		case "ask":
			var left tier.Millis
			if f[4] != "-" {
				left = number(f[4])
			}
			a := k.RequestArrived(number(f[2]), conns[f[1]], f[3], left, f[4] != "-")
			fmt.Fprintf(&out, "  spent %d, trip %d, came back %t\n", a.Elapsed(), a.RoundTrip(), a.IsRetry())
		}
	}
	goldie.New(t).Assert(t, "trips", []byte(out.String()))
}

func TestRoutesAreBounded(t *testing.T) {
	k := New()
	for i := range 3 * maxRoutes {
		k.RequestArrived(0, NewConnection(0, 0), strconv.Itoa(i), 1000, true)
	}
	if len(k.most) > maxRoutes+1 {
		t.Errorf("%d routes are kept", len(k.most))
	}
}
