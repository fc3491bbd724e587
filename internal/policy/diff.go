package policy

import "fmt"

// Change is a difference between two policies.
type Change struct {
	Section string
	// Key is empty if a section without keys was added or removed.
	Key string
	// Old and New are the values, empty if the key does not exist. Defaults count
	// as values, so writing out a default is not a change.
	Old, New string
}

func (c Change) String() string {
	title := fmt.Sprintf("[%s] %s", c.Section, c.Key)
	switch {
	case c.Key == "" && c.Old != "":
		return fmt.Sprintf("[%s]: removed", c.Section)
	case c.Key == "":
		return fmt.Sprintf("[%s]: added", c.Section)
	case c.Old == "":
		return fmt.Sprintf("%s: added, %s", title, c.New)
	case c.New == "":
		return fmt.Sprintf("%s: removed, was %s", title, c.Old)
	}
	return fmt.Sprintf("%s: %s, was %s", title, c.New, c.Old)
}

// Diff returns the differences by section and key in the order of the canonical
// document: first changes and additions, then removals. A nil policy has no
// sections.
func Diff(from, to *Policy) []Change {
	old, now := index(from), index(to)
	var out []Change
	for _, b := range blocksOf(to) {
		before, existed := old[b.title]
		if !existed && len(b.entries) == 0 {
			out = append(out, Change{Section: b.title, New: b.title})
		}
		for _, e := range b.entries {
			if before[e.key] != e.value {
				out = append(out, Change{Section: b.title, Key: e.key, Old: before[e.key], New: e.value})
			}
		}
	}
	for _, b := range blocksOf(from) {
		after, exists := now[b.title]
		if !exists && len(b.entries) == 0 {
			out = append(out, Change{Section: b.title, Old: b.title})
		}
		for _, e := range b.entries {
			if _, ok := after[e.key]; !ok {
				out = append(out, Change{Section: b.title, Key: e.key, Old: e.value})
			}
		}
	}
	return out
}

func blocksOf(p *Policy) []block {
	if p == nil {
		return nil
	}
	return p.blocks()
}

func index(p *Policy) map[string]map[string]string {
	out := make(map[string]map[string]string)
	for _, b := range blocksOf(p) {
		keys := make(map[string]string, len(b.entries))
		for _, e := range b.entries {
			keys[e.key] = e.value
		}
		out[b.title] = keys
	}
	return out
}
