package quarantiner

import (
	"fmt"
	"slices"
	"testing"

	"cicadagrade.example/tier"
)

// refuses is Refuses for one fingerprint, without the time.
func refuses(q *Quarantiner, now tier.Millis, f Fingerprint) bool {
	_, refused := q.Refuses(now, []Fingerprint{f})
	return refused
}

// leafs is a report of leafs of which one was called alone.
func leafs(ids ...string) Report { return Report{Leafs: ids, Alone: true} }

// Leafs count once, whoever has named them, and three quarantine a request on each VM, unless a
// leaf answers within confirmDelay.
func TestLeafsOfAllVMsCountTogether(t *testing.T) {
	q := New()
	if own := q.Ended(0, "f", []string{"a"}, true); !slices.Equal(own.Leafs, []string{"a"}) || own.Answered {
		t.Errorf("report after one leaf: %v", own)
	}
	q.Heard(10, "f", "vm-2", 5, leafs("a", "b"))
	q.Heard(20, "f", "vm-3", 6, leafs("b"))
	q.Heard(20, "other", "vm-3", 7, leafs("c"))
	if refuses(q, evidenceTTL-1, "f") {
		t.Error("two leafs quarantine a request")
	}
	if own := q.Ended(30, "f", []string{"c"}, true); !slices.Equal(own.Leafs, []string{"a", "c"}) {
		t.Errorf("report after two leafs: %v", own)
	}
	if refuses(q, 30+confirmDelay-1, "f") {
		t.Error("refused before others can say that a leaf answers")
	}
	if left, refused := q.Refuses(30+confirmDelay, []Fingerprint{"other", "f"}); !refused || left != evidenceTTL-confirmDelay {
		t.Errorf("refused %v, for %d ms", refused, left)
	}
	if refuses(q, 30+confirmDelay, "other") {
		t.Error("another request is refused")
	}
}

// An answer, here or at another VM, voids what was reported before it, in whichever order a
// VM that starts reads the reports.
func TestAnAnswerClearsARequest(t *testing.T) {
	q := New()
	q.Ended(0, "f", []string{"a", "b"}, true)
	if report, tell := q.Answered(5, "f"); !tell || !report.Answered {
		t.Error("other VMs are not told that a leaf has answered")
	}
	if _, tell := q.Answered(6, "f"); tell {
		t.Error("other VMs are told again")
	}
	q.Heard(10, "f", "vm-2", 5, leafs("c", "d"))
	if refuses(q, 10+confirmDelay, "f") {
		t.Error("leafs from before an answer count")
	}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		q := New()
		reports := []func(){
			func() { q.Heard(0, "f", "vm-1", 5, leafs("a", "b")) },
			func() { q.Heard(0, "f", "vm-2", 7, Report{Answered: true}) },
			func() { q.Heard(0, "f", "vm-3", 6, leafs("c")) },
		}
		for _, k := range order {
			reports[k]()
		}
		if refuses(q, confirmDelay, "f") {
			t.Errorf("order %v: refused in spite of an answer", order)
		}
		q.Heard(10, "f", "vm-1", 8, leafs("d", "e", "g"))
		if !refuses(q, 10+confirmDelay, "f") {
			t.Errorf("order %v: leafs after the answer do not count", order)
		}
	}
}

// Requests to a path that many callers use, each with another query, lose several leafs when a
// rack ends, and others of them are answered: they must not be refused, on any VM.
func TestPopularPathIsNotRefused(t *testing.T) {
	q := New()
	path := NewFingerprints("GET", "h", "/search?q=1", nil)[1]
	q.Heard(0, path, "vm-2", 5, leafs("a", "b"))
	q.Ended(100, path, []string{"c"}, true)
	report, tell := q.Answered(400, path)
	if !tell || !report.Answered {
		t.Error("other VMs are not told of the answer")
	}
	for now := tier.Millis(0); now < 20*tier.Second; now += 100 {
		if refuses(q, now, path) {
			t.Fatalf("refused at %d", now)
		}
	}
}

// Leafs that end at the same moment, as with a rack, do not quarantine the requests that they had;
// one that ends when it is called alone after them does.
func TestLeafsThatEndTogetherDoNotQuarantine(t *testing.T) {
	q := New()
	q.Ended(0, "f", []string{"a", "b"}, false)
	q.Heard(5, "f", "vm-2", 1, Report{Leafs: []string{"b", "c", "d"}})
	if refuses(q, 5+confirmDelay, "f") {
		t.Error("refused, though all leafs have ended at the same moment")
	}
	if !q.WantsCaution(5+confirmDelay, []Fingerprint{"f"}) {
		t.Error("sent without caution")
	}
	q.Heard(2000, "f", "vm-3", 2, leafs("e"))
	if !refuses(q, 2000+confirmDelay, "f") {
		t.Error("not refused, though a further leaf has ended")
	}
	q.Answered(4000, "f")
	q.Ended(4100, "f", []string{"g", "h", "i"}, false)
	if refuses(q, 4100+confirmDelay, "f") {
		t.Error("the leaf from before the answer counts")
	}
}

// Evidence ends, with and without Tick.
func TestEvidenceExpires(t *testing.T) {
	q := New()
	q.Heard(0, "f", "vm", 1, leafs("a", "b", "c"))
	if !refuses(q, evidenceTTL-1, "f") || refuses(q, evidenceTTL, "f") {
		t.Error("the quarantine does not end at evidenceTTL")
	}
	q.Ended(evidenceTTL, "f", []string{"d"}, true)
	if refuses(q, evidenceTTL+confirmDelay, "f") {
		t.Error("old evidence counts with new")
	}
	q.Tick(2 * evidenceTTL)
	if !q.Empty() {
		t.Error("old requests are kept")
	}
}

// However many requests lose leafs, memory is bounded, and those in quarantine stay.
func TestRecordsAreBounded(t *testing.T) {
	q := New()
	q.Heard(0, "f", "vm", 1, leafs("a", "b", "c"))
	for k := range tier.Millis(3 * maxRecords) {
		q.Ended(k, Fingerprint(fmt.Sprint(k)), []string{"a"}, true)
	}
	if q.Len() > maxRecords || !refuses(q, confirmDelay, "f") {
		t.Errorf("%d records are kept, at most %d; refused: %v", q.Len(), maxRecords, refuses(q, confirmDelay, "f"))
	}
}

// Words of a fingerprint can't run together, and each counts. Requests that differ in their
// query share the second one.
func TestFingerprints(t *testing.T) {
	seen := map[Fingerprint]bool{}
	for _, words := range [][4]string{
		{"GET", "h", "/a", ""}, {"GET", "h", "/", "a"}, {"GET", "h/", "a", ""}, {"GETh", "", "/a", ""}, {"PUT", "h", "/a", ""},
	} {
		list := NewFingerprints(words[0], words[1], words[2], []byte(words[3]))
		if len(list) != 1 || seen[list[0]] {
			t.Errorf("%q has the fingerprints of another, or several", words)
		}
		seen[list[0]] = true
	}
	one, two := NewFingerprints("GET", "h", "/a?q=1", nil), NewFingerprints("GET", "h", "/a?q=2", nil)
	if len(one) != 2 || one[0] == two[0] || one[1] != two[1] || !seen[one[1]] {
		t.Errorf("with queries: %v, %v", one, two)
	}
}
