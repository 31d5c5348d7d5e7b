package crowder

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cicadagrade.example/standin/deployer"
	"cicadagrade.example/standin/leafserver"
	"cicadagrade.example/standin/recordgenerator"
	"cicadagrade.example/tier"
)

// serve starts a VM with the product's own interface, the backend servers of the set in testdata, and applies
// the profile and the set.
func (s *script) serve(v *vm) {
	s.t.Helper()
	dir := s.t.TempDir()
	set := filepath.Join(dir, "set.json")
	raw, err := os.ReadFile("testdata/set.json")
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(set, []byte(strings.ReplaceAll(string(raw), "ADDRESS", v.address)), 0o600); err != nil {
		s.t.Fatal(err)
	}
	shardSet, err := deployer.ReadSet(set)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	fleet := leafserver.NewFleet([]*tier.ShardSet{shardSet}, recordgenerator.New(1))
	group.Go(func() { _ = fleet.Serve(ctx) })
	s.t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	v.startServe(s.t, s.address)
	s.apply(v, "profile", "testdata/profiles.json")
	s.apply(v, "set", set)
	for start := time.Now(); s.searchStatus(v.name) != http.StatusOK; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > answerTimeout {
			s.t.Fatalf("%s serves no search", v.name)
		}
	}
}

// apply applies a document of the configuration.
func (s *script) apply(v *vm, kind, file string) {
	s.t.Helper()
	apply := exec.Command(commandLine, kind, "apply", "--who", "test", "--reason", "test", "--wait", file)
	apply.Env = []string{"CICADAGRADE_STORE=" + s.address, "CICADAGRADE_VMS=" + v.endpoint(callerPort)}
	if out, err := apply.CombinedOutput(); err != nil {
		s.t.Fatalf("%s apply: %v\n%s", kind, err, out)
	}
}

// search sends the search of an ordinary caller.
func (s *script) search(vm string) {
	s.t.Helper()
	if status := s.searchStatus(vm); status != http.StatusOK {
		s.t.Errorf("an ordinary search got status %d", status)
	}
}

// searchStatus sends a search on a connection of its own. It returns the status of the answer, or 0 if none comes.
func (s *script) searchStatus(vm string) int {
	s.t.Helper()
	body, err := json.Marshal(map[string]any{"request-id": "ordinary", "profile": "gate", "set": "orders", "term": "grower-17"})
	if err != nil {
		s.t.Fatal(err)
	}
	client := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+s.vms[vm].endpoint(callerPort)+"/v1/search", "application/json", strings.NewReader(string(body)))
	if err != nil {
		s.t.Logf("search: %v", err)
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
