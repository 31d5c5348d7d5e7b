package main

import (
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/spf13/pflag"

	"cicadagrade.example/tier"
)

const runningPage = "../docs/operators/running.md"

// settingRows returns the rows that the operators' page should have for the settings.
func settingRows() []string {
	var rows []string
	for _, t := range settingsTable() {
		rows = append(rows, fmt.Sprintf("| `--%s` | `%s` | %s | %s | %s |", t.flag, t.env(), t.defaultValue, t.allowed, t.usage))
	}
	return rows
}

// gaugeRows returns the rows that the operators' page should have for the gauges.
func gaugeRows() []string {
	var rows []string
	for _, g := range gaugeTable() {
		rows = append(rows, fmt.Sprintf("| `%s` | %s |", promName(g.name), g.description))
	}
	return rows
}

// promName returns a gauge's name in the Prometheus format.
func promName(name string) string { return strings.ReplaceAll(name, ".", "_") }

// rowsOf returns the table rows of a page that start with a prefix.
func rowsOf(page, prefix string) []string {
	var rows []string
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, prefix) {
			rows = append(rows, strings.TrimSuffix(line, "\n"))
		}
	}
	return rows
}

func TestRunningPageListsSettingsAndGauges(t *testing.T) {
	b, err := os.ReadFile(runningPage)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := rowsOf(string(b), "| `--"), settingRows(); !slices.Equal(got, want) {
		t.Errorf("%s has other settings; it should have:\n%s", runningPage, strings.Join(want, "\n"))
	}
	if got, want := rowsOf(string(b), "| `cicadagrade_"), gaugeRows(); !slices.Equal(got, want) {
		t.Errorf("%s has other gauges; it should have:\n%s", runningPage, strings.Join(want, "\n"))
	}
}

var logCall = regexp.MustCompile(`logger\.(Info|Warn|Error)\("([^"]+)"`)

func TestRunningPageListsLogLines(t *testing.T) {
	page, err := os.ReadFile(runningPage)
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, name := range files {
		b, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range logCall.FindAllStringSubmatch(string(b), -1) {
			found++
			if !strings.Contains(string(page), "`"+m[2]+"`") {
				t.Errorf("%s lacks the line %q of %s", runningPage, m[2], name)
			}
		}
	}
	if found == 0 {
		t.Error("no log line found")
	}
}

// newIdleDaemon returns a daemon of which no component runs.
func newIdleDaemon(t *testing.T) *daemon {
	t.Helper()
	flags := pflag.NewFlagSet("serve", pflag.ContinueOnError)
	registerFlags(flags)
	if err := flags.Parse([]string{"--name", "caxias-1", "--data-centre", "serra-caxias"}); err != nil {
		t.Fatal(err)
	}
	s, err := loadSettings(flags)
	if err != nil {
		t.Fatal(err)
	}
	d, err := newDaemon(t.Context(), s, tier.NewClock(), newLogger(t.Output(), s))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.cancel)
	return d
}

func TestMetricsShowGauges(t *testing.T) {
	d := newIdleDaemon(t)
	w := httptest.NewRecorder()
	d.meter.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`cicadagrade_members{data_centre="serra-caxias",state="joining"} 1`,
		`cicadagrade_inflight{from="callers"} 0`,
		`cicadagrade_gossip_bytes{direction="sent"} 0`,
		`cicadagrade_configuration_warnings 0`,
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("metrics lack %s", want)
		}
	}
	if t.Failed() {
		t.Log(w.Body)
	}
}
