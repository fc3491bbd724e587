// Package fault names what is wrong at one place of an INI document. Policy and
// settings share it, so that both are reported in the same form.
package fault

import "fmt"

// Fault is one reason for which a document is rejected. Key is empty if the
// fault concerns a whole section.
type Fault struct {
	Section string
	Key     string
	Reason  string
}

func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("[%s]: %s", f.Section, f.Reason)
	}
	return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Reason)
}
