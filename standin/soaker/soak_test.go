package soaker

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"cicadagrade.example/tier"
)

// TestShortSoak injects a few faults into real processes. It leaves out the timed checks,
// which a slow machine can fail.
func TestShortSoak(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "cicadagraded")
	build := exec.Command("go", "build", "-o", program, "../../cicadagraded")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		t.Fatal(err)
	}
	const seed = 11
	s := New(program, dir, seed, WithVMs(3), WithFaults(8, 4*tier.Second), WithCallers(6, 40), WithDrills(1), Untimed())
	r, err := s.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Error(v)
	}
	if r.Served == 0 {
		t.Errorf("none of %d requests was served", r.Requests)
	}
	t.Logf("%+v", r)
}
