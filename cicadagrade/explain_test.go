package main

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestExplain explains requests from a recorded log of several VMs.
func TestExplain(t *testing.T) {
	logs, err := os.ReadFile("testdata/explain/entry.log")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, request := range []string{"refused", "partial", "unsure", "restricted", "keyless", "over", "nobody"} {
		var text bytes.Buffer
		c := explainCommand()
		c.SetArgs([]string{request, "--around"})
		c.SetIn(bytes.NewReader(logs))
		c.SetOut(&text)
		c.SilenceUsage, c.SilenceErrors = true, true
		err := c.Execute()
		out.WriteString("explain " + request + "\n" + text.String())
		if err != nil {
			out.WriteString("error: " + err.Error() + "\n")
		}
	}
	goldie.New(t, goldie.WithFixtureDir("testdata/explain")).Assert(t, "requests", []byte(out.String()))
}
