// Package checker finds what VMs would reject, ignore or never use in a configuration, and how
// it differs from another one. It decides from decoded configurations and does no I/O.
package checker

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity says how bad a finding is.
type Severity string

// The severities, the worst first.
const (
	// Error is what VMs would reject or ignore.
	Error Severity = "error"
	// Warning is an entry that can never match, or limits that contradict each other.
	Warning Severity = "warning"
	// Difference is a change from the version in force.
	Difference Severity = "difference"
)

// order gives the severities their order of output.
func (s Severity) order() int {
	return slices.Index([]Severity{Error, Warning, Difference}, s)
}

// Finding is a result of the check. It never holds a key.
type Finding struct {
	severity Severity
	kind     string
	path     string
	problem  string
	action   string
	urgent   bool
}

// NewFinding returns a finding at a path of the file. kind is a kebab-case name for programs;
// problem says what was found, and action what to do.
func NewFinding(severity Severity, kind, path, problem, action string) Finding {
	return Finding{severity: severity, kind: kind, path: path, problem: problem, action: action}
}

// Severity is the finding's severity.
func (f Finding) Severity() Severity { return f.severity }

// Kind is the name of what was found, such as "duplicate-name".
func (f Finding) Kind() string { return f.kind }

// Path is the place in the file.
func (f Finding) Path() string { return f.path }

// Problem says what was found.
func (f Finding) Problem() string { return f.problem }

// Action says what to do.
func (f Finding) Action() string { return f.action }

// String is the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s %s: %s: %s", f.severity, f.path, f.problem, f.action)
}

// Sort orders findings by severity. Differences that callers notice first come before others;
// apart from that, findings keep their order.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		if c := cmp.Compare(a.severity.order(), b.severity.order()); c != 0 || a.urgent == b.urgent {
			return c
		}
		if a.urgent {
			return -1
		}
		return 1
	})
}

// HasErrors reports whether some finding is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.severity == Error })
}
