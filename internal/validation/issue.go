// Package validation defines how errors in INI documents are reported. Policy
// and settings use the same format.
package validation

import "fmt"

// Issue is one reason why a document is rejected. Key is empty if the issue
// concerns a whole section.
type Issue struct {
	Section string
	Key     string
	Reason  string
}

func (i Issue) String() string {
	if i.Key == "" {
		return fmt.Sprintf("[%s]: %s", i.Section, i.Reason)
	}
	return fmt.Sprintf("[%s] %s: %s", i.Section, i.Key, i.Reason)
}
