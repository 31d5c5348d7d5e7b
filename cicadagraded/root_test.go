package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
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
		{"cicadagraded", "front", "--balance", "fastest"},
		{"cicadagraded", "front"},
		{"cicadagraded", "serve", "--bogus"},
	} {
		os.Args = args
		if code := execute(); code != exitSettings {
			t.Errorf("%v: exit code %d, expected %d", args, code, exitSettings)
		}
	}
}

// A value of --balance that is not known must not be taken for the default.
func TestUnknownBalanceIsAnError(t *testing.T) {
	raw, err := os.ReadFile("entry/testdata/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, bytes.ReplaceAll(raw, []byte("STORE"), []byte("127.0.0.1:9")), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("CICADAGRADE_CONFIG", path)
	c := frontCommand()
	c.SetArgs([]string{"--balance", "fastest"})
	c.SilenceErrors, c.SilenceUsage = true, true
	if err := c.Execute(); err == nil || !strings.Contains(err.Error(), "--balance") || !strings.Contains(err.Error(), "even or latency") {
		t.Errorf("the error is %v", err)
	}
}
