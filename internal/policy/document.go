package policy

import (
	"fmt"
	"regexp"
	"strings"

	"gopkg.in/ini.v1"
)

// load options: what the library would merge, expand or inherit silently is
// switched off, so that a document means what it shows.
var loadOptions = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         "=",
}

// names are used in section names, range ids, record fields and file names.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

func checkName(s string) error {
	if !nameForm.MatchString(s) {
		return fmt.Errorf("name %q must be 1 to 64 letters, digits, dots, hyphens or underscores and start with a letter or digit", s)
	}
	return nil
}

// section gives access to the keys of one section and remembers which were
// asked for.
type section struct {
	title  string
	values map[string]string
	order  []string
	known  map[string]bool
	faults *Faults
}

// readSection collects the keys of a section; one that is repeated is a fault.
func readSection(s *ini.Section, faults *Faults) *section {
	out := &section{title: s.Name(), values: make(map[string]string), known: make(map[string]bool), faults: faults}
	for _, k := range s.Keys() {
		// Value doesn't expand %(name)s, which String would.
		out.values[k.Name()] = k.Value()
		out.order = append(out.order, k.Name())
		if n := len(k.ValueWithShadows()); n > 1 {
			out.fault(k.Name(), "is given %d times", n)
		}
	}
	return out
}

func emptySection(title string, faults *Faults) *section {
	return &section{title: title, known: make(map[string]bool), faults: faults}
}

func (s *section) fault(key, format string, args ...any) {
	*s.faults = append(*s.faults, Fault{Section: s.title, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (s *section) get(key string) (string, bool) {
	s.known[key] = true
	v, ok := s.values[key]
	return v, ok
}

// text returns a value, or the standard if the key is absent. An empty value
// is a fault.
func (s *section) text(key, standard string) string {
	v, ok := s.get(key)
	if !ok {
		return standard
	}
	if v == "" {
		s.fault(key, "is empty; leave the key out for the default")
	}
	return v
}

// required returns a value that has no default.
func (s *section) required(key string) string {
	v, ok := s.get(key)
	if !ok || v == "" {
		s.fault(key, "is missing")
	}
	return v
}

// name returns a required value that names something.
func (s *section) name(key string) string {
	v := s.required(key)
	if v != "" {
		if err := checkName(v); err != nil {
			s.fault(key, "%v", err)
		}
	}
	return v
}

// oneOf returns a value out of a few.
func (s *section) oneOf(key, standard string, allowed ...string) string {
	v := s.text(key, standard)
	for _, a := range allowed {
		if v == a {
			return v
		}
	}
	if v != "" {
		s.fault(key, "%q isn't one of %s", v, strings.Join(allowed, ", "))
	}
	return standard
}

func (s *section) yes(key string, standard bool) bool {
	v := s.oneOf(key, yesNo(standard), "yes", "no", "true", "false")
	return v == "yes" || v == "true"
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// checkKeys names the keys that nothing asked for.
func (s *section) checkKeys() {
	for _, key := range s.order {
		if !s.known[key] {
			s.fault(key, "unknown key")
		}
	}
}

// readNumbers sets the numbers of a section in a struct.
func readNumbers[S any](s *section, into *S, numbers ...number[S]) {
	for _, n := range numbers {
		v := n.standard
		if text, ok := s.get(n.name); ok {
			v = readNumber(s, n.name, text, n.unit, Bounds{n.min, n.max}, n.standard)
		}
		store(n.field(into), v)
	}
}

// readNumber returns the value of a text. The standard stands in for one that
// is at fault, so that the checks that follow have something to look at.
func readNumber(s *section, key, text string, u Unit, b Bounds, standard float64) float64 {
	v, err := u.parse(text)
	if err != nil {
		s.fault(key, "%q %v", text, err)
		return standard
	}
	if v < b.Min || v > b.Max {
		s.fault(key, "%s is outside of %s .. %s", text, u.format(b.Min), u.format(b.Max))
		return standard
	}
	return v
}
