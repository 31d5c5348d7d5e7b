package parser

import (
	"fmt"
	"strconv"

	"cicadagrade.example/tier"
)

// rootPath is the path under which problems with the document itself are reported.
const rootPath = "document"

// What problems say is allowed of a field that is unknown or missing.
const (
	UnknownField  = "no such field"
	RequiredField = "required"
)

// problemList collects the invalid fields found in a document.
type problemList struct {
	list  []tier.FieldProblem
	paths map[string]bool
}

func (p *problemList) add(path, value, allowed string) {
	if p.paths == nil {
		p.paths = map[string]bool{}
	}
	p.paths[path] = true
	p.list = append(p.list, tier.NewFieldProblem(path, value, allowed))
}

// addNested adds the problems that a domain object reports about itself, under prefix. It
// leaves out paths at which a problem was added before.
func (p *problemList) addNested(prefix string, list []tier.FieldProblem) {
	for _, f := range list {
		path := prefix + f.Path()
		if !p.paths[path] {
			p.list = append(p.list, tier.NewFieldProblem(path, f.Value(), f.Allowed()))
		}
	}
}

// objectReader reads the fields of a JSON object by name and records their problems. Its
// methods that return a value return the fallback or the zero value if the field is absent or
// of another type.
type objectReader struct {
	prefix    string
	values    map[string]*node
	names     []string        // in the order of the document
	requested map[string]bool // names for which a method was called
	notObject bool
	problems  *problemList
}

// newObjectReader returns a reader of n, the value at path. It adds what it finds wrong to
// problems.
func newObjectReader(n *node, path string, problems *problemList) *objectReader {
	o := &objectReader{values: map[string]*node{}, requested: map[string]bool{}, problems: problems}
	if path != rootPath {
		o.prefix = path + "."
	}
	if n.kind != objectNode {
		problems.add(path, n.text, string(objectNode))
		o.notObject = true
		return o
	}
	for _, f := range n.fields {
		if _, duplicate := o.values[f.name]; duplicate {
			problems.add(o.prefix+f.name, f.value.text, "each field once")
			continue
		}
		o.values[f.name] = f.value
		o.names = append(o.names, f.name)
	}
	return o
}

// take returns the value of a field if it is present and of the given kind.
func (o *objectReader) take(name string, kind nodeKind) (*node, bool) {
	o.requested[name] = true
	n, ok := o.values[name]
	if !ok {
		return nil, false
	}
	if n.kind != kind {
		o.problems.add(o.prefix+name, n.text, string(kind))
		return nil, false
	}
	return n, true
}

// require records a problem for each of the named fields that is absent.
func (o *objectReader) require(names ...string) {
	for _, name := range names {
		if _, ok := o.values[name]; !ok && !o.notObject {
			o.problems.add(o.prefix+name, "", RequiredField)
		}
	}
}

func (o *objectReader) text(name string) string {
	n, ok := o.take(name, textNode)
	if !ok {
		return ""
	}
	return n.text
}

func (o *objectReader) integer(name string, fallback int64) int64 {
	n, ok := o.take(name, numberNode)
	if !ok {
		return fallback
	}
	v, err := strconv.ParseInt(n.text, 10, 64)
	if err != nil {
		o.problems.add(o.prefix+name, n.text, "a whole number")
		return fallback
	}
	return v
}

func (o *objectReader) fraction(name string, fallback float64) float64 {
	n, ok := o.take(name, numberNode)
	if !ok {
		return fallback
	}
	v, err := strconv.ParseFloat(n.text, 64)
	if err != nil {
		o.problems.add(o.prefix+name, n.text, "a number")
		return fallback
	}
	return v
}

func (o *objectReader) boolean(name string, fallback bool) bool {
	n, ok := o.take(name, booleanNode)
	if !ok {
		return fallback
	}
	return n.boolean
}

// hash reads a key hash, written as 16 hexadecimal digits.
func (o *objectReader) hash(name string) uint64 {
	n, ok := o.take(name, textNode)
	if !ok {
		return 0
	}
	v, err := strconv.ParseUint(n.text, 16, 64)
	if err != nil || n.text != hashText(v) {
		o.problems.add(o.prefix+name, n.text, "16 hexadecimal digits of 0-9 and a-f")
	}
	return v
}

func hashText(v uint64) string { return fmt.Sprintf("%016x", v) }

// list returns the items of an array and their paths.
func (o *objectReader) list(name string) ([]*node, []string) {
	n, ok := o.take(name, arrayNode)
	if !ok {
		return nil, nil
	}
	paths := make([]string, len(n.items))
	for i := range n.items {
		paths[i] = fmt.Sprintf("%s%s[%d]", o.prefix, name, i)
	}
	return n.items, paths
}

func (o *objectReader) textList(name string) []string {
	var out []string
	items, paths := o.list(name)
	for i, n := range items {
		if n.kind != textNode {
			o.problems.add(paths[i], n.text, string(textNode))
			continue
		}
		out = append(out, n.text)
	}
	return out
}

// reportUnknownFields records a problem for each field that no method was called for.
func (o *objectReader) reportUnknownFields() {
	for _, name := range o.names {
		if !o.requested[name] {
			o.problems.add(o.prefix+name, o.values[name].text, UnknownField)
		}
	}
}
