package main

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/spf13/pflag"

	"cicadagrade.example/tier"
)

func loadArgs(t *testing.T, args ...string) (*settings, error) {
	t.Helper()
	flags := pflag.NewFlagSet("serve", pflag.ContinueOnError)
	registerFlags(flags)
	if err := flags.Parse(args); err != nil {
		t.Fatal(err)
	}
	return loadSettings(flags)
}

func TestLoadSettingsReportsEachInvalidSetting(t *testing.T) {
	t.Setenv("CICADAGRADED_STORE", "store.example:2379")
	_, err := loadArgs(t, "--name", "Caxias 1", "--data-centre", "serra-caxias", "--stop-limit-ms", "5")
	var invalid *tier.InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v, want *tier.InvalidError", err)
	}
	var paths []string
	for _, p := range invalid.Problems() {
		paths = append(paths, p.Path())
	}
	want := []string{"--name", "CICADAGRADED_STORE", "--stop-limit-ms"}
	if len(paths) != len(want) {
		t.Fatalf("problems with %v, want %v", paths, want)
	}
	for i := range want {
		if paths[i] != want[i] {
			t.Errorf("problem %d is with %s, want %s", i, paths[i], want[i])
		}
	}
}

func TestFlagsTakePrecedence(t *testing.T) {
	t.Setenv("CICADAGRADED_NAME", "from-environment")
	s, err := loadArgs(t, "--name", "from-flag", "--data-centre", "serra-caxias")
	if err != nil {
		t.Fatal(err)
	}
	if s.name != "from-flag" {
		t.Errorf("name is %q", s.name)
	}
	if s.peerAdvertise != s.peerAddress {
		t.Errorf("advertises %q, want %q", s.peerAdvertise, s.peerAddress)
	}
}

func TestStopLimitExceedsLagAndDeadlines(t *testing.T) {
	s, err := loadArgs(t, "--name", "a", "--data-centre", "b")
	if err != nil {
		t.Fatal(err)
	}
	if s.stopLimit < tier.MaxDeadlineAllowed+s.balancerLag {
		t.Errorf("a graceful shutdown abandons requests after %d ms", s.stopLimit)
	}
	_, err = loadArgs(t, "--name", "a", "--data-centre", "b", "--stop-limit-ms", "3000", "--balancer-lag-ms", "3000")
	var invalid *tier.InvalidError
	if !errors.As(err, &invalid) || invalid.Problems()[0].Path() != "stop-limit-ms" {
		t.Errorf("got %v, want a problem with stop-limit-ms", err)
	}
}
