package parser

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"
)

// itemKeys names the field that identifies the items of each list.
var itemKeys = map[string]string{"profiles": "name", "servers": "name", "shards": "id"}

// Change is one field or item that differs between two documents.
type Change struct {
	path   string
	before string
	after  string
}

// NewChange returns a change of the value at path; "" stands for absent.
func NewChange(path, before, after string) Change {
	return Change{path: path, before: before, after: after}
}

// Path names the field, such as "profiles[gate].rank".
func (c Change) Path() string { return c.path }

// Before is the JSON value before, or "" when there was none.
func (c Change) Before() string { return c.before }

// After is the JSON value after, or "" when there is none.
func (c Change) After() string { return c.after }

// Diff lists what differs, sorted by path. An item that only one document
// has is one change. A nil document is an absent one.
func Diff(before, after Document) []Change {
	switch {
	case before == nil && after == nil:
		return nil
	case before == nil:
		return []Change{NewChange("", "", string(Encode(after)))}
	case after == nil:
		return []Change{NewChange("", string(Encode(before)), "")}
	}
	var out []Change
	diffValues("", keyed(Encode(before)), keyed(Encode(after)), &out)
	sort.Slice(out, func(i, j int) bool { return out[i].path < out[j].path })
	return out
}

func diffValues(path string, before, after any, out *[]Change) {
	b, isObject := before.(map[string]any)
	a, both := after.(map[string]any)
	if !isObject || !both {
		x, y := valueText(before), valueText(after)
		if x != y {
			*out = append(*out, NewChange(path, x, y))
		}
		return
	}
	names := map[string]bool{}
	for n := range b {
		names[n] = true
	}
	for n := range a {
		names[n] = true
	}
	for n := range names {
		diffValues(childPath(path, n), b[n], a[n], out)
	}
}

// childPath writes items of a list in brackets: "servers[a].slots".
func childPath(path, name string) string {
	if path == "" {
		return name
	}
	if _, list := itemKeys[path]; list {
		return fmt.Sprintf("%s[%s]", path, name)
	}
	return path + "." + name
}

func valueText(v any) string {
	if v == nil {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // v was read from JSON
	}
	return string(b)
}

// Delta writes what turns base into next, as an RFC 7386 merge patch over
// the documents with their lists turned into objects by name or id.
func Delta(base, next Document) ([]byte, error) {
	a, err := json.Marshal(keyed(Encode(base)))
	if err != nil {
		return nil, errors.Wrap(err, "Delta")
	}
	b, err := json.Marshal(keyed(Encode(next)))
	if err != nil {
		return nil, errors.Wrap(err, "Delta")
	}
	patch, err := jsonpatch.CreateMergePatch(a, b)
	return patch, errors.Wrap(err, "Delta")
}

// Apply turns base into the document that delta was made for.
func Apply(base Document, delta []byte) (Document, error) {
	a, err := json.Marshal(keyed(Encode(base)))
	if err != nil {
		return nil, errors.Wrap(err, "Apply")
	}
	b, err := jsonpatch.MergePatch(a, delta)
	if err != nil {
		return nil, errors.Wrap(err, "Apply")
	}
	body, err := unkeyed(b)
	if err != nil {
		return nil, errors.Wrap(err, "Apply")
	}
	d, err := Parse(base.Kind(), body)
	return d, errors.Wrap(err, "Apply")
}

// keyed turns the lists of a canonical encoding into objects.
func keyed(body []byte) map[string]any {
	var m map[string]any
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if err := d.Decode(&m); err != nil {
		panic(err) // body is a canonical encoding
	}
	for list, key := range itemKeys {
		items, ok := m[list].([]any)
		if !ok {
			continue
		}
		byKey := make(map[string]any, len(items))
		for _, i := range items {
			item := i.(map[string]any)
			byKey[item[key].(string)] = item
		}
		m[list] = byKey
	}
	return m
}

// unkeyed turns the objects back into lists.
func unkeyed(body []byte) ([]byte, error) {
	var m map[string]any
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if err := d.Decode(&m); err != nil {
		return nil, err
	}
	for list := range itemKeys {
		byKey, ok := m[list].(map[string]any)
		if !ok {
			continue
		}
		items := make([]any, 0, len(byKey))
		for _, i := range byKey {
			items = append(items, i)
		}
		m[list] = items
	}
	return json.Marshal(m)
}
