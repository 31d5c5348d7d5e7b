package entry

import (
	"os"
	"strings"
	"testing"
)

// The operators' documentation must list every gauge with its description.
func TestOperatorsPageListsEveryGauge(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, g := range gauges() {
		if row := "| " + g.name + " | " + g.description + " |"; !strings.Contains(string(page), row) {
			t.Errorf("the page lacks %q", row)
		}
	}
}
