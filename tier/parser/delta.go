package parser

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"
)

// itemKeys maps the name of each list of items to the field that identifies an item.
var itemKeys = map[string]string{"profiles": "name", "servers": "name", "shards": "id"}

// Change is a field or list item that differs between two documents.
type Change struct {
	path   string
	before string
	after  string
}

// NewChange returns a change of the value at path from before to after, both as JSON. ""
// stands for an absent value.
func NewChange(path, before, after string) Change {
	return Change{path: path, before: before, after: after}
}

// Path is the path of the field or item, such as "profiles[gate].rank".
func (c Change) Path() string { return c.path }

// Before is the old value as JSON, or "" if there was none.
func (c Change) Before() string { return c.before }

// After is the new value as JSON, or "" if there is none.
func (c Change) After() string { return c.after }

// Diff lists the changes from one document to another, sorted by path. An item that only one
// document has is a single change. A nil document stands for an absent one.
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
	diffValues("", listsToMaps(Encode(before)), listsToMaps(Encode(after)), &out)
	sort.Slice(out, func(i, j int) bool { return out[i].path < out[j].path })
	return out
}

func diffValues(path string, before, after any, out *[]Change) {
	b, beforeIsObject := before.(map[string]any)
	a, afterIsObject := after.(map[string]any)
	if !beforeIsObject || !afterIsObject {
		beforeText, afterText := valueText(before), valueText(after)
		if beforeText != afterText {
			*out = append(*out, NewChange(path, beforeText, afterText))
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

// childPath returns the path of a field or item at path. Items of a list are written in
// brackets, as in "servers[a].slots".
func childPath(path, name string) string {
	if path == "" {
		return name
	}
	if _, isList := itemKeys[path]; isList {
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
		panic(err) // can't happen: v was decoded from JSON
	}
	return string(b)
}

// Delta returns the RFC 7386 merge patch that turns base into next. Since a merge patch can't
// change single items of a list, it applies to the documents with their lists of items turned
// into objects whose fields are named by the items' names or ids.
func Delta(base, next Document) ([]byte, error) {
	a, err := json.Marshal(listsToMaps(Encode(base)))
	if err != nil {
		return nil, errors.Wrap(err, "Delta")
	}
	b, err := json.Marshal(listsToMaps(Encode(next)))
	if err != nil {
		return nil, errors.Wrap(err, "Delta")
	}
	patch, err := jsonpatch.CreateMergePatch(a, b)
	return patch, errors.Wrap(err, "Delta")
}

// Apply applies a delta returned by Delta to base and returns the resulting document.
func Apply(base Document, delta []byte) (Document, error) {
	a, err := json.Marshal(listsToMaps(Encode(base)))
	if err != nil {
		return nil, errors.Wrap(err, "Apply")
	}
	b, err := jsonpatch.MergePatch(a, delta)
	if err != nil {
		return nil, errors.Wrap(err, "Apply")
	}
	body, err := mapsToLists(b)
	if err != nil {
		return nil, errors.Wrap(err, "Apply")
	}
	d, err := Parse(base.Kind(), body)
	return d, errors.Wrap(err, "Apply")
}

// listsToMaps decodes a canonical encoding and turns its lists of items into maps by item key.
func listsToMaps(body []byte) map[string]any {
	var m map[string]any
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if err := d.Decode(&m); err != nil {
		panic(err) // can't happen: body is a canonical encoding
	}
	for list, key := range itemKeys {
		items, ok := m[list].([]any)
		if !ok {
			continue
		}
		byKey := make(map[string]any, len(items))
		for _, v := range items {
			item := v.(map[string]any)
			byKey[item[key].(string)] = item
		}
		m[list] = byKey
	}
	return m
}

// mapsToLists is the inverse of listsToMaps. The order of the items is undefined.
func mapsToLists(body []byte) ([]byte, error) {
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
		for _, item := range byKey {
			items = append(items, item)
		}
		m[list] = items
	}
	return json.Marshal(m)
}
