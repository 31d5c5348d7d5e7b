package main

import (
	"os"
	"testing"
)

// Invalid flags have the same exit code as invalid settings, which differs from other
// failures.
func TestExitCodes(t *testing.T) {
	old := os.Args
	defer func() { os.Args = old }()
	t.Setenv("CICADAGRADE_CONFIG", "")
	for _, args := range [][]string{
		{"cicadagraded", "front", "--bogus"},
		{"cicadagraded", "front", "--metrics-port", "0"},
		{"cicadagraded", "front"},
		{"cicadagraded", "serve", "--bogus"},
	} {
		os.Args = args
		if code := execute(); code != exitSettings {
			t.Errorf("%v: exit code %d, expected %d", args, code, exitSettings)
		}
	}
}
