package checker

import (
	"fmt"
	"strconv"
	"strings"

	"cicadagrade.example/tier/router"
)

// maxListed bounds the names that a finding lists.
const maxListed = 5

// list is some names for output, the first few of them.
func (c *check) list(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	quoted := make([]string, 0, maxListed)
	for _, name := range names[:min(len(names), maxListed)] {
		quoted = append(quoted, c.quote(name))
	}
	text := strings.Join(quoted, ", ")
	if more := len(names) - maxListed; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

// count is a number of things in words.
func count(n int, thing string) string {
	if n != 1 {
		thing += "s"
	}
	return strconv.Itoa(n) + " " + thing
}

// changeList lists the fields of an entry that changed.
type changeList struct {
	check *check
	list  []string
}

func (l *changeList) add(name string, before, after any) {
	if before != after {
		l.list = append(l.list, name+" from "+l.check.value(before)+" to "+l.check.value(after))
	}
}

func (l *changeList) empty() bool { return len(l.list) == 0 }

func (l changeList) String() string { return strings.Join(l.list, ", ") }

// value prepares a number of the file for output. A key may consist of digits.
func (c *check) value(v any) string { return c.mask(fmt.Sprint(v)) }

func (c *check) rate(o *router.Organisation) string {
	if o.PerSecond() <= 0 {
		return "no limit"
	}
	return c.value(o.PerSecond()) + " a second"
}

// differences returns what only b has, and what only a has, in their order.
func differences[T comparable](a, b []T) (added, removed []T) {
	inA, inB := map[T]bool{}, map[T]bool{}
	for _, v := range a {
		inA[v] = true
	}
	for _, v := range b {
		if !inA[v] && !inB[v] {
			added = append(added, v)
		}
		inB[v] = true
	}
	for _, v := range a {
		if !inB[v] && inA[v] {
			removed = append(removed, v)
			delete(inA, v)
		}
	}
	return added, removed
}

// Nearest returns the known name that takes the fewest edits of an unknown one, and false if
// all are too different to be meant.
func Nearest(unknown string, known []string) (string, bool) {
	best, fewest := "", max(2, len(unknown)/2)+1
	for _, name := range known {
		if n := edits(strings.ToLower(unknown), strings.ToLower(name)); n < fewest {
			best, fewest = name, n
		}
	}
	return best, best != ""
}

// maxEditedBytes bounds the names that are compared, as the time grows with the product of
// their lengths.
const maxEditedBytes = 64

// edits is the Levenshtein distance of two names.
func edits(a, b string) int {
	if len(a) > maxEditedBytes || len(b) > maxEditedBytes {
		return max(len(a), len(b))
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
