package deployer

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
)

// Read reads a deployment file and the documents it refers to, whose paths are relative
// to the deployment file.
func Read(path string) (*Deployment, error) {
	var doc deploymentDocument
	if err := readDocument(path, &doc); err != nil {
		return nil, errors.Wrap(err, "Read")
	}
	d := &Deployment{name: doc.Name, seed: doc.Seed, store: doc.Store, control: doc.Control, links: doc.Links}
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
	b, err := os.ReadFile(filepath.Join(dir, doc.Profiles))
	if err != nil {
		return err
	}
	profiles, err := parser.ParseProfiles(b)
	if err != nil {
		return errors.Wrap(err, doc.Profiles)
	}
	d.profiles = profiles.Profiles()
	for _, name := range doc.Sets {
		set, err := ReadSet(filepath.Join(dir, name))
		if err != nil {
			return err
		}
		d.sets = append(d.sets, set)
	}
	return nil
}

// ReadSet reads the configuration document of a shard set.
func ReadSet(path string) (*tier.ShardSet, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "ReadSet")
	}
	d, err := parser.ParseSet(b)
	if err != nil {
		return nil, errors.Wrap(err, "ReadSet "+path)
	}
	return d.Set(), nil
}

func readDocument(path string, target any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return errors.Wrap(decode(b, target), path)
}

func decode(b []byte, target any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return d.Decode(target)
}

// Write writes the files of the deployments of both organisations to dir.
func Write(dir string) error {
	for _, p := range deploymentPlans() {
		if err := p.write(dir); err != nil {
			return errors.Wrap(err, "Write")
		}
	}
	return nil
}

func (p deploymentPlan) write(dir string) error {
	files, err := p.files()
	if err != nil {
		return err
	}
	for name, b := range files {
		if err := writeFile(filepath.Join(dir, name), b); err != nil {
			return err
		}
	}
	return nil
}

// writeFile writes a JSON document with indentation.
func writeFile(path string, document []byte) error {
	var b bytes.Buffer
	if err := json.Indent(&b, document, "", "  "); err != nil {
		return err
	}
	b.WriteByte('\n')
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, b.Bytes(), 0o644)
}
