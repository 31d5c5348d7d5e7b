package parser_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
)

// TestDocuments parses each file in testdata/documents. Its golden file holds either the
// canonical encoding or the problem with each invalid field.
func TestDocuments(t *testing.T) {
	files, err := filepath.Glob("testdata/documents/*.json")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/golden"))
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".json")
		t.Run(name, func(t *testing.T) {
			body, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			kind, _, _ := strings.Cut(name, "-")
			g.Assert(t, name, []byte(encodingOrProblems(t, parser.Kind(kind), body)))
		})
	}
}

func encodingOrProblems(t *testing.T, kind parser.Kind, body []byte) string {
	d, err := parser.Parse(kind, body)
	if err == nil {
		return string(parser.Encode(d)) + "\n"
	}
	var invalid *tier.InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("not an InvalidError: %v", err)
	}
	var out strings.Builder
	for _, p := range invalid.Problems() {
		out.WriteString(p.String() + "\n")
	}
	return out.String()
}

func parse(t *testing.T, kind parser.Kind, body string) parser.Document {
	t.Helper()
	d, err := parser.Parse(kind, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestDiffAndDelta(t *testing.T) {
	before := parse(t, parser.KindProfiles, `{"profiles":[{"name":"gate"},{"name":"desk"}]}`)
	after := parse(t, parser.KindProfiles, `{"profiles":[{"name":"gate","rank":"urgent","queue-limit":9},{"name":"fees"}]}`)
	var paths []string
	for _, c := range parser.Diff(before, after) {
		paths = append(paths, c.Path())
		if c.Path() == "profiles[gate].rank" && (c.Before() != `"daily"` || c.After() != `"urgent"`) {
			t.Errorf("rank changed from %s to %s", c.Before(), c.After())
		}
	}
	want := []string{"profiles[desk]", "profiles[fees]", "profiles[gate].queue-limit", "profiles[gate].rank"}
	if !reflect.DeepEqual(paths, want) {
		t.Errorf("paths %v, want %v", paths, want)
	}
	delta, err := parser.Delta(before, after)
	if err != nil {
		t.Fatal(err)
	}
	got, err := parser.Apply(before, delta)
	if err != nil || parser.Digest(got) != parser.Digest(after) {
		t.Errorf("delta %s gives %s, error %v", delta, parser.Encode(got), err)
	}
	if other, err := parser.Apply(got, []byte(`{"profiles":{"gate":{"rank":"daily"}}}`)); err != nil || parser.Digest(other) == parser.Digest(after) {
		t.Errorf("a changed document has the same digest, or error %v", err)
	}
}

// FuzzParse checks that the canonical encoding of a parsed document parses to the same
// document, and that the delta between two documents turns one into the other.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/documents/*.json")
	for _, name := range files {
		body, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body, []byte(`{"owners":2}`))
	}
	f.Fuzz(func(t *testing.T, body, delta []byte) {
		for _, kind := range []parser.Kind{parser.KindProfiles, parser.KindSet} {
			d, err := parser.Parse(kind, body)
			if err != nil {
				continue
			}
			checkRoundTrip(t, d)
			if next, err := parser.Apply(d, delta); err == nil {
				checkDelta(t, d, next)
			}
		}
	})
}

func checkRoundTrip(t *testing.T, d parser.Document) {
	b := parser.Encode(d)
	again, err := parser.Parse(d.Kind(), b)
	if err != nil || parser.Digest(again) != parser.Digest(d) || !json.Valid(b) {
		t.Errorf("%s: parsing the encoding again gives another document or error %v", b, err)
	}
}

func checkDelta(t *testing.T, base, next parser.Document) {
	delta, err := parser.Delta(base, next)
	if err != nil {
		t.Fatal(err)
	}
	got, err := parser.Apply(base, delta)
	if err != nil || parser.Digest(got) != parser.Digest(next) {
		t.Errorf("delta %s gives another document or error %v", delta, err)
	}
}
