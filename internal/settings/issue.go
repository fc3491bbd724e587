package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"celeryhook.example/celeryhook/internal/validation"
)

// ErrSyntax is wrapped by the error for a file that can't be read or is not valid
// INI.
var ErrSyntax = errors.New("settings: file isn't valid INI")

// Issue is one reason why settings are rejected.
type Issue = validation.Issue

// Issues are all reasons why settings are rejected, sorted by section and key.
type Issues []Issue

func (list Issues) Error() string {
	lines := make([]string, len(list))
	for i, one := range list {
		lines[i] = "\n  " + one.String()
	}
	return fmt.Sprintf("settings: %d faults:%s", len(list), strings.Join(lines, ""))
}

func (list Issues) sorted() Issues {
	slices.SortStableFunc(list, func(a, b Issue) int {
		if c := strings.Compare(a.Section, b.Section); c != 0 {
			return c
		}
		return strings.Compare(a.Key, b.Key)
	})
	return list
}
