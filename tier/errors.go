package tier

import (
	"fmt"
	"strings"
)

// FieldProblem describes one invalid field of a document, a request or a setting.
type FieldProblem struct {
	path    string
	value   string
	allowed string
}

// NewFieldProblem returns a problem with the field at path. allowed says in words which
// values the field may have.
func NewFieldProblem(path string, value any, allowed string) FieldProblem {
	return FieldProblem{path: path, value: fmt.Sprint(value), allowed: allowed}
}

// Path is the field's path, such as "servers[3].slots".
func (p FieldProblem) Path() string { return p.path }

// Value is the invalid value, as text.
func (p FieldProblem) Value() string { return p.value }

// Allowed says which values the field may have.
func (p FieldProblem) Allowed() string { return p.allowed }

// String returns path, value and allowed values on one line.
func (p FieldProblem) String() string {
	return fmt.Sprintf("%s: %q is not allowed: %s", p.path, p.value, p.allowed)
}

// InvalidError reports that an object was rejected, and every invalid field of it.
type InvalidError struct {
	object   string
	problems []FieldProblem
}

// NewInvalidError returns an *InvalidError for the named object, or nil if there are no
// problems.
func NewInvalidError(object string, problems []FieldProblem) error {
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{object: object, problems: problems}
}

// Object is the name of what was rejected, such as "profile gate".
func (e *InvalidError) Object() string { return e.object }

// Problems lists every invalid field.
func (e *InvalidError) Problems() []FieldProblem { return e.problems }

// Error lists every problem on one line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		lines = append(lines, p.String())
	}
	return fmt.Sprintf("%s is invalid: %s", e.object, strings.Join(lines, "; "))
}

// problemList collects the problems found by a Validate method.
type problemList []FieldProblem

func (l *problemList) check(ok bool, path string, value any, allowed string) {
	if !ok {
		*l = append(*l, NewFieldProblem(path, value, allowed))
	}
}
