package reporter

import (
	"bytes"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestTables(t *testing.T) {
	a, err := Read("testdata/before.json")
	if err != nil {
		t.Fatal(err)
	}
	b, err := Read("testdata/after.json")
	if err != nil {
		t.Fatal(err)
	}
	var printed, compared bytes.Buffer
	if err := Print(&printed, b); err != nil {
		t.Fatal(err)
	}
	if err := Compare(&compared, a, b); err != nil {
		t.Fatal(err)
	}
	g := goldie.New(t)
	g.Assert(t, "printed", printed.Bytes())
	g.Assert(t, "compared", compared.Bytes())
}
