package parser

import (
	"fmt"
	"strconv"

	"cicadagrade.example/tier"
)

// rootPath is the path of the document itself.
const rootPath = "document"

// problems gathers bad fields, one problem for each path and value.
type problems struct {
	list  []tier.FieldProblem
	paths map[string]bool
}

func (p *problems) add(path, value, allowed string) {
	if p.paths == nil {
		p.paths = map[string]bool{}
	}
	p.paths[path] = true
	p.list = append(p.list, tier.NewFieldProblem(path, value, allowed))
}

// merge adds what the domain objects report under prefix, but for the paths
// that were found bad before.
func (p *problems) merge(prefix string, list []tier.FieldProblem) {
	for _, f := range list {
		path := prefix + f.Path()
		if !p.paths[path] {
			p.list = append(p.list, tier.NewFieldProblem(path, f.Value(), f.Allowed()))
		}
	}
}

// object reads the fields of one JSON object and reports what is wrong.
type object struct {
	prefix string
	values map[string]*node
	order  []string
	known  map[string]bool
	broken bool
	bad    *problems
}

// newObject returns the fields of n, the value at path.
func newObject(n *node, path string, bad *problems) *object {
	o := &object{values: map[string]*node{}, known: map[string]bool{}, bad: bad}
	if path != rootPath {
		o.prefix = path + "."
	}
	if n.kind != objectNode {
		bad.add(path, n.text, string(objectNode))
		o.broken = true
		return o
	}
	for _, f := range n.fields {
		if _, twice := o.values[f.name]; twice {
			bad.add(o.prefix+f.name, f.value.text, "each field once")
			continue
		}
		o.values[f.name] = f.value
		o.order = append(o.order, f.name)
	}
	return o
}

// take returns the field's value if it is present and of the kind.
func (o *object) take(name string, kind nodeKind) (*node, bool) {
	o.known[name] = true
	n, ok := o.values[name]
	if !ok {
		return nil, false
	}
	if n.kind != kind {
		o.bad.add(o.prefix+name, n.text, string(kind))
		return nil, false
	}
	return n, true
}

// require reports a field that is absent.
func (o *object) require(names ...string) {
	for _, name := range names {
		if _, ok := o.values[name]; !ok && !o.broken {
			o.bad.add(o.prefix+name, "", "required")
		}
	}
}

func (o *object) text(name string) string {
	n, ok := o.take(name, textNode)
	if !ok {
		return ""
	}
	return n.text
}

func (o *object) whole(name string, fallback int64) int64 {
	n, ok := o.take(name, numberNode)
	if !ok {
		return fallback
	}
	v, err := strconv.ParseInt(n.text, 10, 64)
	if err != nil {
		o.bad.add(o.prefix+name, n.text, "a whole number")
		return fallback
	}
	return v
}

func (o *object) fraction(name string, fallback float64) float64 {
	n, ok := o.take(name, numberNode)
	if !ok {
		return fallback
	}
	v, err := strconv.ParseFloat(n.text, 64)
	if err != nil {
		o.bad.add(o.prefix+name, n.text, "a number")
		return fallback
	}
	return v
}

func (o *object) flag(name string, fallback bool) bool {
	n, ok := o.take(name, booleanNode)
	if !ok {
		return fallback
	}
	return n.yes
}

// hash reads a hash bound of 16 hexadecimal digits.
func (o *object) hash(name string) uint64 {
	n, ok := o.take(name, textNode)
	if !ok {
		return 0
	}
	v, err := strconv.ParseUint(n.text, 16, 64)
	if err != nil || n.text != hashText(v) {
		o.bad.add(o.prefix+name, n.text, "16 hexadecimal digits of 0-9 and a-f")
	}
	return v
}

func hashText(v uint64) string { return fmt.Sprintf("%016x", v) }

// list returns the items of an array and the path of each.
func (o *object) list(name string) ([]*node, []string) {
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

func (o *object) texts(name string) []string {
	var out []string
	items, paths := o.list(name)
	for i, n := range items {
		if n.kind != textNode {
			o.bad.add(paths[i], n.text, string(textNode))
			continue
		}
		out = append(out, n.text)
	}
	return out
}

// done reports the fields that nobody asked for.
func (o *object) done() {
	for _, name := range o.order {
		if !o.known[name] {
			o.bad.add(o.prefix+name, o.values[name].text, "no such field")
		}
	}
}
