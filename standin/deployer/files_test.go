package deployer

import (
	"os"
	"path/filepath"
	"testing"
)

const committedDir = "../deployment"

// TestCommittedFilesAreUpToDate checks that the files in the repository are those that
// Write generates.
func TestCommittedFilesAreUpToDate(t *testing.T) {
	dir := t.TempDir()
	if err := Write(dir); err != nil {
		t.Fatal(err)
	}
	for _, p := range deploymentPlans() {
		files, err := p.files()
		if err != nil {
			t.Fatal(err)
		}
		for name := range files {
			want, err := os.ReadFile(filepath.Join(dir, name))
			if err != nil {
				t.Fatal(err)
			}
			got, err := os.ReadFile(filepath.Join(committedDir, name))
			if err != nil || string(got) != string(want) {
				t.Errorf("%s differs from the generated file (%v): run standin deployment write", name, err)
			}
		}
	}
}

func TestDeploymentSizes(t *testing.T) {
	serverCounts := map[string]map[string]int{
		"associacao": {"portao": 40, "agenda": 60, "contas": 7, "frota": 3},
		"zorin":      {"pec-recepture": 40, "lomni-dnevnik": 60, "narocila": 3, "odprema": 3},
	}
	for name, sets := range serverCounts {
		d, err := Read(filepath.Join(committedDir, name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		if len(d.VMs()) != 7 || len(d.DataCentres()) != 3 || len(d.Sets()) != len(sets) {
			t.Errorf("%s: %d VMs, %d data centres, %d sets", name, len(d.VMs()), len(d.DataCentres()), len(d.Sets()))
		}
		for _, s := range d.Sets() {
			if len(s.Servers()) != sets[s.Name()] {
				t.Errorf("%s has %d servers", s.Name(), len(s.Servers()))
			}
		}
	}
}

// TestSharedReplicasInDifferentDataCentres checks that every shard of the shared sets
// keeps a replica when one data centre is lost.
func TestSharedReplicasInDifferentDataCentres(t *testing.T) {
	for set, name := range map[string]string{"contas": "associacao", "frota": "associacao", "narocila": "zorin", "odprema": "zorin"} {
		d, err := Read(filepath.Join(committedDir, name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		s, _ := d.Set(set)
		for _, shard := range s.Shards() {
			a, _ := s.Server(shard.Replicas()[0])
			b, _ := s.Server(shard.Replicas()[1])
			if a.DataCentre() == b.DataCentre() {
				t.Errorf("%s: both replicas in %s", shard.ID(), a.DataCentre())
			}
		}
	}
}

func TestSizedDeployment(t *testing.T) {
	dir := t.TempDir()
	if err := WriteSized(dir, NewSizes("sized", 10000, 4, 41, 110)); err != nil {
		t.Fatal(err)
	}
	d, err := Read(filepath.Join(dir, "sized.json"))
	if err != nil {
		t.Fatal(err)
	}
	set, ok := d.Set(sizedSet)
	if !ok || len(d.VMs()) != 41 || len(set.Shards()) != 110 || len(set.DataCentres()) != 4 {
		t.Errorf("%d VMs, %v", len(d.VMs()), set)
	}
	if err := WriteSized(dir, NewSizes("sized", 1, 4, 2, 1)); err == nil {
		t.Error("invalid sizes were accepted")
	}
}
