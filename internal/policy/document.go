package policy

import (
	"fmt"
	"regexp"
	"strings"

	"gopkg.in/ini.v1"
)

// loadOptions disables what the library does implicitly, such as merging
// duplicate sections and keys, so that a document means what it shows.
var loadOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
}

// Names are used in section names, range ids, record fields and file names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

func checkName(s string) error {
	if !namePattern.MatchString(s) {
		return fmt.Errorf("name %q must be 1 to 64 letters, digits, dots, hyphens or underscores and start with a letter or digit", s)
	}
	return nil
}

// section holds the keys of a section and tracks which have been read, to find
// unknown keys.
type section struct {
	title  string
	values map[string]string
	order  []string
	used   map[string]bool
	issues *Issues
}

// readSection collects the keys of a section. A duplicate key is an issue.
func readSection(s *ini.Section, issues *Issues) *section {
	out := &section{title: s.Name(), values: make(map[string]string), used: make(map[string]bool), issues: issues}
	for _, k := range s.Keys() {
		// Value doesn't expand %(name)s, which String would.
		out.values[k.Name()] = k.Value()
		out.order = append(out.order, k.Name())
		if n := len(k.ValueWithShadows()); n > 1 {
			out.addIssue(k.Name(), "is given %d times", n)
		}
	}
	return out
}

func emptySection(title string, issues *Issues) *section {
	return &section{title: title, used: make(map[string]bool), issues: issues}
}

func (s *section) addIssue(key, format string, args ...any) {
	*s.issues = append(*s.issues, Issue{Section: s.title, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (s *section) get(key string) (string, bool) {
	s.used[key] = true
	v, ok := s.values[key]
	return v, ok
}

// text returns a value, or the default if the key is absent. An empty value is
// an issue.
func (s *section) text(key, defaultValue string) string {
	v, ok := s.get(key)
	if !ok {
		return defaultValue
	}
	if v == "" {
		s.addIssue(key, "is empty; leave the key out for the default")
	}
	return v
}

// required returns the value of a key that must be present.
func (s *section) required(key string) string {
	v, ok := s.get(key)
	if !ok || v == "" {
		s.addIssue(key, "is missing")
	}
	return v
}

// name returns a required value that must be a valid name.
func (s *section) name(key string) string {
	v := s.required(key)
	if v != "" {
		if err := checkName(v); err != nil {
			s.addIssue(key, "%v", err)
		}
	}
	return v
}

// oneOf returns a value that must be one of those allowed.
func (s *section) oneOf(key, defaultValue string, allowed ...string) string {
	v := s.text(key, defaultValue)
	for _, a := range allowed {
		if v == a {
			return v
		}
	}
	if v != "" {
		s.addIssue(key, "%q isn't one of %s", v, strings.Join(allowed, ", "))
	}
	return defaultValue
}

func (s *section) boolean(key string, defaultValue bool) bool {
	v := s.oneOf(key, yesNo(defaultValue), "yes", "no", "true", "false")
	return v == "yes" || v == "true"
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// reportUnknownKeys adds an issue for each key that has not been read.
func (s *section) reportUnknownKeys() {
	for _, key := range s.order {
		if !s.used[key] {
			s.addIssue(key, "unknown key")
		}
	}
}

// readNumbers stores the numbers of a section in the fields of a struct.
func readNumbers[S any](s *section, into *S, numbers ...number[S]) {
	for _, n := range numbers {
		v := n.defaultValue
		if text, ok := s.get(n.name); ok {
			v = readNumber(s, n.name, text, n.unit, Bounds{n.min, n.max}, n.defaultValue)
		}
		storeField(n.field(into), v)
	}
}

// readNumber parses a number. It returns the default for an invalid one, so that
// later checks have a valid value to work on.
func readNumber(s *section, key, text string, u Unit, b Bounds, defaultValue float64) float64 {
	v, err := u.parse(text)
	if err != nil {
		s.addIssue(key, "%q %v", text, err)
		return defaultValue
	}
	if v < b.Min || v > b.Max {
		s.addIssue(key, "%s is outside of %s .. %s", text, u.format(b.Min), u.format(b.Max))
		return defaultValue
	}
	return v
}
