package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// reader reads values from a file, collects issues and tracks the known sections
// and keys.
type reader struct {
	file   *ini.File
	known  map[string]map[string]bool
	issues Issues
}

func newReader(source any) (*reader, error) {
	options := ini.LoadOptions{
		// With shadows, a duplicate key keeps all its values, so that it can be
		// reported.
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		KeyValueDelimiters:         "=",
	}
	file, err := ini.LoadSources(options, source)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSyntax, err)
	}
	return &reader{file: file, known: make(map[string]map[string]bool)}, nil
}

func (r *reader) addIssue(section, key, format string, args ...any) {
	r.issues = append(r.issues, Issue{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// finish adds an issue for each unknown section and key and returns all issues.
func (r *reader) finish() error {
	for _, s := range r.file.Sections() {
		keys, ok := r.known[s.Name()]
		if !ok && s.Name() != ini.DefaultSection {
			r.addIssue(s.Name(), "", "unknown section")
			continue
		}
		for _, k := range s.Keys() {
			switch {
			case s.Name() == ini.DefaultSection:
				r.addIssue(s.Name(), k.Name(), "key before the first section")
			case !keys[k.Name()]:
				r.addIssue(s.Name(), k.Name(), "unknown key")
			}
		}
	}
	if len(r.issues) > 0 {
		return r.issues.sorted()
	}
	return nil
}

func (r *reader) markKnown(section, key string) {
	if r.known[section] == nil {
		r.known[section] = make(map[string]bool)
	}
	r.known[section][key] = true
}

// value returns the value of a key. The second result is false if the key is
// absent or given more than once.
func (r *reader) value(section, key string) (string, bool) {
	r.markKnown(section, key)
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	values := s.Key(key).ValueWithShadows()
	if len(values) > 1 {
		r.addIssue(section, key, "is given %d times", len(values))
		return "", false
	}
	return s.Key(key).Value(), true
}

func (r *reader) has(section, key string) bool {
	s, err := r.file.GetSection(section)
	return err == nil && s.HasKey(key)
}

// required returns a value that must be present and not empty.
func (r *reader) required(section, key string) string {
	v, ok := r.value(section, key)
	if v == "" && (ok || !r.has(section, key)) {
		r.addIssue(section, key, "is missing")
	}
	return v
}

// name returns a required value that must be a valid name; see nameIssue.
func (r *reader) name(section, key string) string {
	v := r.required(section, key)
	if issue := nameIssue(v); v != "" && issue != "" {
		r.addIssue(section, key, "%s", issue)
	}
	return v
}

const maxNameBytes = 64

func nameIssue(v string) string {
	if len(v) > maxNameBytes {
		return fmt.Sprintf("has %d bytes, at most %d are allowed", len(v), maxNameBytes)
	}
	for _, c := range v {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '-' && c != '_' && c != '.' {
			return fmt.Sprintf("%q contains %q; letters, digits, '-', '_' and '.' are allowed", v, c)
		}
	}
	return ""
}

func (r *reader) choice(section, key, defaultValue string, allowed ...string) string {
	v, ok := r.value(section, key)
	if !ok {
		return defaultValue
	}
	if !slices.Contains(allowed, v) {
		r.addIssue(section, key, "%q isn't one of %s", v, strings.Join(allowed, ", "))
	}
	return v
}

func (r *reader) number(section, key string, defaultValue, minimum, maximum uint64) uint64 {
	v, ok := r.value(section, key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.ParseUint(v, 10, 64)
	switch {
	case err != nil:
		r.addIssue(section, key, "%q isn't a whole number", v)
	case n < minimum || n > maximum:
		r.addIssue(section, key, "%d isn't between %d and %d", n, minimum, maximum)
	}
	return n
}

func (r *reader) duration(section, key string, defaultValue, minimum, maximum time.Duration) time.Duration {
	v, ok := r.value(section, key)
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	switch {
	case err != nil:
		r.addIssue(section, key, "%q isn't a duration such as 500ms or 20s", v)
	case d < minimum || d > maximum:
		r.addIssue(section, key, "%s isn't between %s and %s", d, minimum, maximum)
	}
	return d
}

// addressIssue returns what is wrong with an IP:port, or "".
func addressIssue(v string, allowPortZero bool) string {
	a, err := netip.ParseAddrPort(v)
	switch {
	case err != nil:
		return fmt.Sprintf("%q isn't an address of the form IP:port", v)
	case a.Port() == 0 && !allowPortZero:
		return fmt.Sprintf("%q has port 0", v)
	}
	return ""
}

// listener returns a listen address. Port 0 lets the kernel choose a free port.
func (r *reader) listener(section, key, defaultValue string) string {
	v, ok := r.value(section, key)
	if !ok {
		return defaultValue
	}
	if issue := addressIssue(v, true); issue != "" {
		r.addIssue(section, key, "%s", issue)
	}
	return v
}

// baseURL returns a required URL of the form http://IP:port.
func (r *reader) baseURL(section, key string) string {
	v := r.required(section, key)
	if v == "" {
		return v
	}
	u, err := url.Parse(v)
	switch {
	case err != nil || u.Scheme != "http" || u.Host == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" || strings.Trim(u.Path, "/") != "":
		r.addIssue(section, key, "%q is not of the form http://IP:port", v)
	default:
		if issue := addressIssue(u.Host, false); issue != "" {
			r.addIssue(section, key, "%s", issue)
		}
	}
	return strings.TrimSuffix(v, "/")
}
