package balancer

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// TestLinksAreLostOnlyBySurvey checks when calls raise a doubt, and that only a survey in which no
// leaf accepts a connection makes the links count as lost. Each line of a script of
// testdata/links is a time in ms and
//
//	call | reply | break | refuse LEAF [MS] a call is sent; it brings a reply, after MS; brings
//	                                        none; or no connection could be made
//	surveyed N                              of four leafs, N have accepted a connection
//	surveyed none                           there was no leaf to survey
//	expect [no] survey, linked | lost       whether a survey is due, and what is known
func TestLinksAreLostOnlyBySurvey(t *testing.T) {
	files, err := filepath.Glob("testdata/links/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			in, err := os.Open(file)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = in.Close() }()
			b := New(func(string) Distance { return SameDataCentre }, WithRandom(func() float64 { return 0.5 }))
			lines := bufio.NewScanner(in)
			for lines.Scan() {
				playLinks(t, b, lines.Text())
			}
		})
	}
}

// playLinks plays one line of a script.
func playLinks(t *testing.T, b *Balancer, line string) {
	t.Helper()
	words := strings.Fields(line)
	if words[0] == "#" {
		return
	}
	ms, err := strconv.Atoi(words[0])
	if err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	now, leaf := tier.Millis(ms), lister.NewLeaf(words[2], "s", words[2]+":1")
	switch words[1] {
	case "call":
		b.Sent(now, "c", leaf)
	case "reply":
		latency := 1
		if len(words) > 3 {
			if latency, err = strconv.Atoi(words[3]); err != nil {
				t.Fatalf("%q: %v", line, err)
			}
		}
		b.Answered(now, "c", leaf, tier.Millis(latency))
	case "break":
		b.Broken(now, leaf)
	case "refuse":
		b.Unreachable(now, leaf)
	case "surveyed":
		surveyed := 4
		accepted, err := strconv.Atoi(words[2])
		if words[2] == "none" {
			surveyed, accepted, err = 0, 0, nil
		}
		if err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		b.Surveyed(now, accepted, surveyed)
	case "expect":
		// A survey that is not finished does not change what is due.
		copied := *b
		got := "no survey, "
		if copied.Survey(now, func() []lister.Leaf { return []lister.Leaf{leaf} }) != nil {
			got = "survey, "
		}
		if b.LinksLost() {
			got += "lost"
		} else {
			got += "linked"
		}
		if want := strings.Join(words[2:], " "); got != want {
			t.Errorf("%s ms: %s, want %s", words[0], got, want)
		}
	default:
		t.Fatalf("unknown command %q", line)
	}
}

// TestSurveyAsksLeafsThatRepliedLast guards against links that count as lost because some leafs
// have ended: those that live on have replied last.
func TestSurveyAsksLeafsThatRepliedLast(t *testing.T) {
	b := New(func(string) Distance { return SameDataCentre })
	var leafs []lister.Leaf
	for k := range 30 {
		leafs = append(leafs, lister.NewLeaf(fmt.Sprint("i-", k), "s", fmt.Sprint("a:", k)))
		b.Sent(0, "c", leafs[k])
		b.Answered(tier.Millis(10+k%3), "c", leafs[k], 1)
	}
	for _, k := range []int{4, 17} {
		b.Sent(20, "c", leafs[k])
		b.Answered(100, "c", leafs[k], 1)
	}
	b.Unreachable(110, leafs[0])
	b.Unreachable(110, leafs[1])
	usable := func() []lister.Leaf { return append([]lister.Leaf{}, leafs...) }
	sample := b.Survey(120, usable)
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
	if again := b.Survey(130, usable); again != nil {
		t.Error("a second survey begins while one is on")
	}
}
