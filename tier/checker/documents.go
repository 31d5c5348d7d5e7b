package checker

import (
	"errors"
	"strconv"
	"strings"
	"unicode"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
)

// maxShownBytes bounds the value of a field that a difference shows.
const maxShownBytes = 80

// CheckDocument returns the findings on a document of the project's own interface, sorted, and
// the document, which is nil if it is invalid. Texts of the file go through mask.
func CheckDocument(kind parser.Kind, body []byte, mask func(string) string) ([]Finding, parser.Document) {
	d, err := parser.Parse(kind, body)
	if err != nil {
		return invalidFields(kind, err, mask), nil
	}
	if set, ok := d.(*parser.SetDocument); ok {
		return unusedServers(set.Set(), mask), d
	}
	return nil, d
}

// invalidFields turns the problems of a document into findings. They leave out the values of
// unknown fields, which may be keys.
func invalidFields(kind parser.Kind, err error, mask func(string) string) []Finding {
	var invalid *tier.InvalidError
	if !errors.As(err, &invalid) {
		return []Finding{NewFinding(Error, "rejected", "document", "VMs reject the document", "compare it with the documented format")}
	}
	var findings []Finding
	for _, p := range invalid.Problems() {
		path := printable(mask(p.Path()))
		switch p.Allowed() {
		case parser.UnknownField:
			action := "remove it"
			if nearest, ok := Nearest(p.Path()[strings.LastIndexByte(p.Path(), '.')+1:], parser.KnownFields(kind, p.Path())); ok {
				action = "write " + nearest + " if that is meant, or remove it"
			}
			findings = append(findings, NewFinding(Error, "unknown-field", path, "VMs reject the document for this unknown field", action))
		case parser.RequiredField:
			findings = append(findings, NewFinding(Error, "missing-field", path, "the field is missing, and VMs reject the document", "add it"))
		default:
			findings = append(findings, NewFinding(Error, "invalid-field", path,
				"VMs reject the value "+strconv.Quote(shown(mask(p.Value()))), "use "+p.Allowed()))
		}
	}
	return findings
}

// unusedServers finds servers that hold no shard.
func unusedServers(set *tier.ShardSet, mask func(string) string) []Finding {
	used := map[string]bool{}
	for _, s := range set.Shards() {
		for _, name := range s.Replicas() {
			used[name] = true
		}
	}
	var findings []Finding
	for _, s := range set.Servers() {
		if !used[s.Name()] {
			findings = append(findings, NewFinding(Warning, "unused-server", "servers["+mask(s.Name())+"]",
				"no shard has a replica on this server", "name it in a shard or remove it"))
		}
	}
	return findings
}

// CompareDocuments returns the differences of a document from the one in force, which may be
// nil. Removals come first.
func CompareDocuments(inForce, d parser.Document, mask func(string) string) []Finding {
	var findings []Finding
	for _, change := range parser.Diff(inForce, d) {
		path := printable(mask(change.Path()))
		if path == "" {
			path = "document"
		}
		f := NewFinding(Difference, "field-changed", path, "it goes from "+shown(mask(change.Before()))+" to "+shown(mask(change.After())), actionConfirm)
		switch {
		case change.Before() == "":
			f = NewFinding(Difference, "entry-added", path, "it is new", actionConfirm)
		case change.After() == "":
			f = NewFinding(Difference, "entry-removed", path, "it is removed", actionNotice)
			f.urgent = true
		}
		findings = append(findings, f)
	}
	Sort(findings)
	return findings
}

// shown bounds a value for output.
func shown(value string) string {
	if len(value) > maxShownBytes {
		return "a value of " + strconv.Itoa(len(value)) + " bytes"
	}
	return value
}

// printable keeps text of the file from adding lines to the output.
func printable(path string) string {
	if strings.ContainsFunc(path, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(path)
	}
	return path
}
