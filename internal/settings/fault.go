package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"celeryhook.example/celeryhook/internal/validation"
)

// ErrSyntax wraps the error of a file that can't be read as INI.
var ErrSyntax = errors.New("settings: file isn't valid INI")

// Fault is one reason for which settings are rejected.
type Fault = validation.Issue

// Faults are all reasons for which settings are rejected, sorted by section
// and key.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = "\n  " + one.String()
	}
	return fmt.Sprintf("settings: %d faults:%s", len(f), strings.Join(lines, ""))
}

func (f Faults) sorted() Faults {
	slices.SortStableFunc(f, func(a, b Fault) int {
		if c := strings.Compare(a.Section, b.Section); c != 0 {
			return c
		}
		return strings.Compare(a.Key, b.Key)
	})
	return f
}
