package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// maxDepth is the greatest nesting depth of a document.
const maxDepth = 8

// nodeKind is a kind of JSON value, in the words used in error messages.
type nodeKind string

const (
	objectNode  nodeKind = "an object"
	arrayNode   nodeKind = "an array"
	textNode    nodeKind = "text"
	numberNode  nodeKind = "a number"
	booleanNode nodeKind = "true or false"
	nullNode    nodeKind = "null"
)

// node is a JSON value. Unlike a map, it keeps duplicate fields, so that they can be reported.
type node struct {
	kind    nodeKind
	text    string
	boolean bool
	fields  []field
	items   []*node
}

type field struct {
	name  string
	value *node
}

var errTooDeep = fmt.Errorf("nested more than %d levels deep", maxDepth)

// readNode decodes body, which has to be exactly one JSON value.
func readNode(body []byte) (*node, error) {
	if !utf8.Valid(body) {
		return nil, errors.New("not UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	n, err := readValue(d, 0)
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("at byte %d: %w", d.InputOffset(), err)
	}
	if _, err = d.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("at byte %d: data after the document", d.InputOffset())
	}
	return n, nil
}

func readValue(d *json.Decoder, depth int) (*node, error) {
	if depth > maxDepth {
		return nil, errTooDeep
	}
	t, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch v := t.(type) {
	case json.Delim:
		if v == '{' {
			return readObject(d, depth)
		}
		return readArray(d, depth)
	case string:
		return &node{kind: textNode, text: v}, nil
	case json.Number:
		return &node{kind: numberNode, text: v.String()}, nil
	case bool:
		return &node{kind: booleanNode, text: fmt.Sprint(v), boolean: v}, nil
	default:
		return &node{kind: nullNode, text: "null"}, nil
	}
}

func readObject(d *json.Decoder, depth int) (*node, error) {
	n := &node{kind: objectNode, text: "an object"}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return nil, err
		}
		name, ok := t.(string)
		if !ok {
			return nil, fmt.Errorf("field name expected, found %v", t)
		}
		v, err := readValue(d, depth+1)
		if err != nil {
			return nil, err
		}
		n.fields = append(n.fields, field{name: name, value: v})
	}
	_, err := d.Token()
	return n, err
}

func readArray(d *json.Decoder, depth int) (*node, error) {
	n := &node{kind: arrayNode, text: "an array"}
	for d.More() {
		v, err := readValue(d, depth+1)
		if err != nil {
			return nil, err
		}
		n.items = append(n.items, v)
	}
	_, err := d.Token()
	return n, err
}
