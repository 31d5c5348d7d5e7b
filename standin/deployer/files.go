package deployer

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Read reads a deployment's file and the documents it names, whose paths
// are relative to its own.
func Read(path string) (*Deployment, error) {
	var doc deploymentDocument
	if err := readDocument(path, &doc); err != nil {
		return nil, errors.Wrap(err, "Read")
	}
	d := &Deployment{name: doc.Name, seed: doc.Seed, store: doc.Store, control: doc.Control}
	for _, c := range doc.DataCentres {
		d.dataCentres = append(d.dataCentres, tier.NewDataCentre(c.Name, c.Region))
	}
	for _, v := range doc.VMs {
		d.vms = append(d.vms, VM{name: v.Name, dataCentre: v.DataCentre, api: v.API, peer: v.Peer})
	}
	if err := d.readConfiguration(filepath.Dir(path), doc); err != nil {
		return nil, errors.Wrap(err, "Read")
	}
	return d, nil
}

func (d *Deployment) readConfiguration(dir string, doc deploymentDocument) error {
	var profiles profilesDocument
	if err := readDocument(filepath.Join(dir, doc.Profiles), &profiles); err != nil {
		return err
	}
	for _, p := range profiles.Profiles {
		profile, err := p.profile()
		if err != nil {
			return err
		}
		d.profiles = append(d.profiles, profile)
	}
	for _, name := range doc.Sets {
		set, err := readSet(filepath.Join(dir, name))
		if err != nil {
			return err
		}
		d.sets = append(d.sets, set)
	}
	return nil
}

func readSet(path string) (*tier.ShardSet, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	set, err := ParseSet(b)
	return set, errors.Wrap(err, path)
}

// ParseSet reads a set's configuration document.
func ParseSet(b []byte) (*tier.ShardSet, error) {
	var doc setDocument
	if err := decode(b, &doc); err != nil {
		return nil, errors.Wrap(err, "ParseSet")
	}
	set, err := doc.set()
	return set, errors.Wrap(err, "ParseSet")
}

func readDocument(path string, into any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return errors.Wrap(decode(b, into), path)
}

func decode(b []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

// Write writes the files of both users' deployments under dir.
func Write(dir string) error {
	for _, u := range users() {
		for name, doc := range u.documents() {
			if err := writeDocument(filepath.Join(dir, name), doc); err != nil {
				return errors.Wrap(err, "Write")
			}
		}
	}
	return nil
}

func writeDocument(path string, doc any) error {
	b, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}
