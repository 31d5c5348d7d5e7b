package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"cicadagrade.example/platform"
	"cicadagrade.example/tier/checker"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/replicator"
)

// versionSource reads the version in force from a file or the store.
type versionSource struct {
	against  string // empty: no version
	settings *platform.Settings
	stdin    io.Reader
	opened   *platform.Store
}

func (s *versionSource) store() *platform.Store {
	if s.opened == nil {
		s.opened = platform.NewStore(s.settings.StoreAddress())
	}
	return s.opened
}

func (s *versionSource) close() {
	if s.opened != nil {
		s.opened.Close()
	}
}

// configuration reads the configuration in force. It is nil if there is none.
func (s *versionSource) configuration(ctx context.Context) (*platform.Draft, error) {
	var raw []byte
	switch s.against {
	case "":
		return nil, nil
	case againstStore:
		v, err := s.store().Get(ctx, platform.ConfigurationKey)
		if err != nil {
			return nil, err
		}
		if !v.Present() {
			return nil, nil
		}
		raw = v.Data()
	default:
		var err error
		if raw, err = readFile(s.stdin, s.against); err != nil {
			return nil, err
		}
	}
	d, err := platform.DecodeDraft(raw)
	if err != nil {
		return nil, errors.Cause(err)
	}
	if d.Configuration() == nil {
		return nil, errors.New("VMs reject this configuration; check it by itself")
	}
	return d, nil
}

// leafs counts the leafs of each service in the store. It returns nil without a store.
func (s *versionSource) leafs(ctx context.Context) (map[string]int, error) {
	if s.against != againstStore {
		return nil, nil
	}
	list, err := s.store().List(ctx, platform.LeafsPrefix, 0)
	if err != nil {
		return nil, err
	}
	count := map[string]int{}
	for _, v := range list {
		if entry, err := platform.DecodeLeaf(v.Key(), v.Data()); err == nil && !entry.Leaf().IsLeaving() {
			count[entry.Leaf().Service()]++
		}
	}
	return count, nil
}

// document reads the document in force that d would replace. It is nil if there is none.
func (s *versionSource) document(ctx context.Context, d parser.Document) (parser.Document, error) {
	if s.against == againstStore {
		state, err := loadDocument(ctx, s.store(), replicator.KeyOf(d))
		if err != nil || state == nil {
			return nil, err
		}
		return state.Document(), nil
	}
	raw, err := readFile(s.stdin, s.against)
	if err != nil {
		return nil, err
	}
	if err := platform.ValidateDocument(raw); err != nil {
		return nil, errors.Cause(err)
	}
	inForce, err := parser.Parse(d.Kind(), raw)
	if err != nil {
		return nil, errors.New("VMs reject this document; check it by itself")
	}
	return inForce, nil
}

// checkConfiguration checks a configuration in the platform's format. If the version in force
// can't be read, it returns the findings on the file alone and the error.
func checkConfiguration(ctx context.Context, source *versionSource, size int, draft *platform.Draft) ([]checker.Finding, error) {
	findings := draft.Findings()
	masks := []*platform.Draft{draft}
	options := []checker.Option{checker.WithPaths(platform.ConfigurationPath), checker.WithMask(func(text string) string {
		for _, d := range masks {
			text = d.Mask(text)
		}
		return text
	})}
	if s := source.settings; s != nil {
		window, _, _ := s.QuotaBound()
		options = append(options, checker.WithQuotaWindow(window))
		if s.ListsRegions() {
			options = append(options, checker.WithRegions(s.HasRegion))
		}
		if limit := s.ValueBytes(); limit > 0 && size > limit {
			findings = append(findings, checker.NewFinding(checker.Error, "too-large", "configuration",
				fmt.Sprintf("the file has %d bytes, and the store takes at most %d", size, limit), "remove entries or shorten them"))
		}
	}
	inForce, err := source.configuration(ctx)
	if inForce != nil {
		masks = append(masks, inForce)
		options = append(options, checker.Against(inForce.Configuration()))
	}
	if err == nil {
		var leafs map[string]int
		leafs, err = source.leafs(ctx)
		options = append(options, checker.WithLeafs(leafs))
	}
	if draft.Configuration() != nil {
		findings = append(findings, checker.Check(draft.Configuration(), options...)...)
	}
	return findings, err
}

// checkDocument checks a document of the project's own interface.
func checkDocument(ctx context.Context, source *versionSource, kind parser.Kind, raw []byte, draft *platform.Draft) ([]checker.Finding, error) {
	findings, d := checker.CheckDocument(kind, raw, draft.MaskKeys)
	if d == nil || source.against == "" {
		return findings, nil
	}
	inForce, err := source.document(ctx, d)
	if err != nil {
		return findings, err
	}
	return append(findings, checker.CompareDocuments(inForce, d, draft.MaskKeys)...), nil
}

// findingsError is the error for a document that apply refuses.
func findingsError(file string, findings []checker.Finding) error {
	var out strings.Builder
	for _, f := range findings {
		if f.Severity() == checker.Error {
			fmt.Fprintf(&out, "\n  %s", f)
		}
	}
	return exitErrorf(exitBadInput, "%s has errors and was not applied:%s", file, out.String())
}
