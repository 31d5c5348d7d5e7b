package tier

import (
	"fmt"

	"github.com/pkg/errors"
)

// Rank is the urgency class of a request. A lower number is more urgent.
type Rank int

// The ranks, most urgent first.
const (
	Urgent Rank = iota
	Daily
	Reports
)

// Ranks lists all ranks, most urgent first.
var Ranks = [...]Rank{Urgent, Daily, Reports}

var rankNames = [...]string{"urgent", "daily", "reports"}

// ParseRank returns the rank with the given name. The error is an *UnknownRankError.
func ParseRank(s string) (Rank, error) {
	for i, n := range rankNames {
		if n == s {
			return Rank(i), nil
		}
	}
	return 0, errors.WithStack(&UnknownRankError{name: s})
}

// Valid reports whether r is one of the ranks.
func (r Rank) Valid() bool { return r >= Urgent && r <= Reports }

// String returns the rank's name, as used in documents and answers.
func (r Rank) String() string {
	if !r.Valid() {
		return fmt.Sprintf("rank(%d)", int(r))
	}
	return rankNames[r]
}

// MarshalText encodes the rank as its name.
func (r Rank) MarshalText() ([]byte, error) {
	if !r.Valid() {
		return nil, errors.WithStack(&UnknownRankError{name: r.String()})
	}
	return []byte(r.String()), nil
}

// UnmarshalText decodes the rank's name.
func (r *Rank) UnmarshalText(b []byte) error {
	v, err := ParseRank(string(b))
	if err != nil {
		return errors.Wrap(err, "Rank.UnmarshalText")
	}
	*r = v
	return nil
}

// UnknownRankError reports a name that is not the name of a rank.
type UnknownRankError struct{ name string }

// Name is the unknown name.
func (e *UnknownRankError) Name() string { return e.name }

// Error returns the unknown name and lists the valid ones.
func (e *UnknownRankError) Error() string {
	return fmt.Sprintf("unknown rank %q: use urgent, daily or reports", e.name)
}
