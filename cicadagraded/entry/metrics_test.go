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
	var rows []string
	for _, g := range gauges() {
		rows = append(rows, "| "+g.name+" | "+g.description+" |")
	}
	for _, g := range organisationGauges() {
		rows = append(rows, "| "+g.name+" | "+g.description+" |")
	}
	for _, row := range rows {
		if !strings.Contains(string(page), row) {
			t.Errorf("the page lacks %q", row)
		}
	}
}
