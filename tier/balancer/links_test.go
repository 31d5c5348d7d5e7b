package balancer

import (
	"fmt"
	"testing"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// surveyed is what a test expects after a step.
type surveyed struct {
	due  bool
	lost bool
}

// TestLinksAreLostOnlyBySurvey checks when calls raise a doubt, and that only a survey in which no
// leaf accepts a connection makes the links count as lost.
func TestLinksAreLostOnlyBySurvey(t *testing.T) {
	type step struct {
		at       tier.Millis
		do       string // call, reply, break or refuse, and the leaf; or survey
		leaf     int
		accepted int
		want     surveyed
	}
	cases := map[string][]step{
		"a reply ends the silence": {
			{at: 0, do: "call", leaf: 0}, {at: 0, do: "call", leaf: 1}, {at: 150, do: "reply", leaf: 0},
			{at: 300, want: surveyed{due: false}},
		},
		"one slow leaf is not surveyed at once": {
			{at: 0, do: "call", leaf: 0}, {at: 900, want: surveyed{due: false}}, {at: 1000, want: surveyed{due: true}},
		},
		"two silent leafs": {
			{at: 0, do: "call", leaf: 0}, {at: 50, do: "call", leaf: 1}, {at: 199, want: surveyed{due: false}},
			{at: 200, want: surveyed{due: true}},
			{at: 300, do: "survey", accepted: 0, want: surveyed{due: false, lost: true}},
			{at: 550, want: surveyed{due: true, lost: true}},
			{at: 600, do: "survey", accepted: 0, want: surveyed{lost: true}},
			{at: 900, do: "survey", accepted: 1, want: surveyed{lost: false}},
		},
		"dead leafs are not the links": {
			{at: 0, do: "call", leaf: 0}, {at: 0, do: "call", leaf: 1}, {at: 5, do: "refuse", leaf: 0}, {at: 5, do: "refuse", leaf: 1},
			{at: 10, want: surveyed{due: true}},
			{at: 20, do: "survey", accepted: 3, want: surveyed{due: false}},
			{at: 30, do: "call", leaf: 0}, {at: 35, do: "refuse", leaf: 0}, {at: 35, do: "refuse", leaf: 1},
			{at: 900, want: surveyed{due: false}},
			{at: 1030, want: surveyed{due: true}},
		},
		"new connections refused while open ones live on": {
			{at: 0, do: "call", leaf: 0}, {at: 0, do: "call", leaf: 1}, {at: 0, do: "call", leaf: 2}, {at: 4, do: "refuse", leaf: 0},
			{at: 10, do: "reply", leaf: 2}, {at: 11, want: surveyed{due: false}}, {at: 12, do: "refuse", leaf: 1},
			{at: 20, do: "reply", leaf: 2}, {at: 21, want: surveyed{due: true}},
			{at: 30, do: "survey", accepted: 0, want: surveyed{lost: true}},
		},
		"a leaf that replies again is no longer broken": {
			{at: 0, do: "call", leaf: 0}, {at: 0, do: "call", leaf: 1}, {at: 0, do: "call", leaf: 0},
			{at: 5, do: "break", leaf: 0}, {at: 6, do: "reply", leaf: 0}, {at: 7, do: "break", leaf: 1}, {at: 8, want: surveyed{due: false}},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			b := New(func(string) Distance { return SameDataCentre }, WithRandom(func() float64 { return 0.5 }))
			var leafs []lister.Leaf
			for k := range 9 {
				leafs = append(leafs, lister.NewLeaf(fmt.Sprint("i-", k), "s", fmt.Sprint("a:", k)))
			}
			for k, s := range steps {
				switch leaf := leafs[s.leaf]; s.do {
				case "call":
					b.Sent(s.at, leaf)
					continue
				case "reply":
					b.Answered(s.at, "c", leaf, 1)
					continue
				case "break":
					b.Broken(s.at, leaf)
					continue
				case "refuse":
					b.Unreachable(s.at, leaf)
					continue
				case "survey":
					b.Surveyed(s.at, s.accepted, surveyRecent+surveyOthers)
				}
				// A survey that is not finished does not change what is due.
				copied := *b
				sample := copied.Survey(s.at, func() []lister.Leaf { return append([]lister.Leaf{}, leafs...) })
				if got := (surveyed{due: sample != nil, lost: b.LinksLost()}); got != s.want {
					t.Errorf("step %d: %+v, want %+v", k, got, s.want)
				}
				if sample != nil && len(sample) != surveyRecent+surveyOthers {
					t.Errorf("step %d: %d leafs are surveyed", k, len(sample))
				}
			}
		})
	}
}

// TestSurveyAsksLeafsThatRepliedLast guards against links that count as lost because some leafs
// have ended: those that live on have replied last.
func TestSurveyAsksLeafsThatRepliedLast(t *testing.T) {
	b := New(func(string) Distance { return SameDataCentre })
	var leafs []lister.Leaf
	for k := range 30 {
		leafs = append(leafs, lister.NewLeaf(fmt.Sprint("i-", k), "s", fmt.Sprint("a:", k)))
		b.Sent(0, leafs[k])
		b.Answered(tier.Millis(10+k%3), "c", leafs[k], 1)
	}
	for _, k := range []int{4, 17} {
		b.Sent(20, leafs[k])
		b.Answered(100, "c", leafs[k], 1)
	}
	b.Unreachable(110, leafs[0])
	b.Unreachable(110, leafs[1])
	sample := b.Survey(120, func() []lister.Leaf { return append([]lister.Leaf{}, leafs...) })
	if len(sample) != surveyRecent+surveyOthers || sample[0].ID() != "i-17" || sample[1].ID() != "i-4" {
		t.Errorf("surveyed: %v", sample)
	}
	seen := map[string]bool{}
	for _, leaf := range sample {
		if seen[leaf.ID()] {
			t.Errorf("%s is surveyed twice", leaf.ID())
		}
		seen[leaf.ID()] = true
	}
	if again := b.Survey(130, func() []lister.Leaf { return leafs }); again != nil {
		t.Error("a second survey begins while one is on")
	}
}
