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

// reader takes values out of a file, collects faults and notes which sections
// and keys are known.
type reader struct {
	file   *ini.File
	known  map[string]map[string]bool
	faults Faults
}

func newReader(source any) (*reader, error) {
	options := ini.LoadOptions{
		// With shadows, a key that is given twice keeps both values, so that
		// the repetition can be reported.
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

func (r *reader) fault(section, key, format string, args ...any) {
	r.faults = append(r.faults, Fault{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// finish reports what no call asked for and returns all faults.
func (r *reader) finish() error {
	for _, s := range r.file.Sections() {
		keys, ok := r.known[s.Name()]
		if !ok && s.Name() != ini.DefaultSection {
			r.fault(s.Name(), "", "unknown section")
			continue
		}
		for _, k := range s.Keys() {
			switch {
			case s.Name() == ini.DefaultSection:
				r.fault(s.Name(), k.Name(), "stands before the first section")
			case !keys[k.Name()]:
				r.fault(s.Name(), k.Name(), "unknown key")
			}
		}
	}
	if len(r.faults) > 0 {
		return r.faults.sorted()
	}
	return nil
}

func (r *reader) know(section, key string) {
	if r.known[section] == nil {
		r.known[section] = make(map[string]bool)
	}
	r.known[section][key] = true
}

// value returns the text of a key; the second result is false if the key is
// absent or given more than once.
func (r *reader) value(section, key string) (string, bool) {
	r.know(section, key)
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	values := s.Key(key).ValueWithShadows()
	if len(values) > 1 {
		r.fault(section, key, "is given %d times", len(values))
		return "", false
	}
	return s.Key(key).Value(), true
}

func (r *reader) has(section, key string) bool {
	s, err := r.file.GetSection(section)
	return err == nil && s.HasKey(key)
}

// required returns a text that must be present and not empty.
func (r *reader) required(section, key string) string {
	v, ok := r.value(section, key)
	if v == "" && (ok || !r.has(section, key)) {
		r.fault(section, key, "is missing")
	}
	return v
}

// name returns a required name: printable, without spaces.
func (r *reader) name(section, key string) string {
	v := r.required(section, key)
	if fault := nameFault(v); v != "" && fault != "" {
		r.fault(section, key, "%s", fault)
	}
	return v
}

const maxNameBytes = 64

func nameFault(v string) string {
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

func (r *reader) choice(section, key, absent string, allowed ...string) string {
	v, ok := r.value(section, key)
	if !ok {
		return absent
	}
	if !slices.Contains(allowed, v) {
		r.fault(section, key, "%q isn't one of %s", v, strings.Join(allowed, ", "))
	}
	return v
}

func (r *reader) number(section, key string, absent, least, most uint64) uint64 {
	v, ok := r.value(section, key)
	if !ok {
		return absent
	}
	n, err := strconv.ParseUint(v, 10, 64)
	switch {
	case err != nil:
		r.fault(section, key, "%q isn't a whole number", v)
	case n < least || n > most:
		r.fault(section, key, "%d isn't between %d and %d", n, least, most)
	}
	return n
}

func (r *reader) duration(section, key string, absent, least, most time.Duration) time.Duration {
	v, ok := r.value(section, key)
	if !ok {
		return absent
	}
	d, err := time.ParseDuration(v)
	switch {
	case err != nil:
		r.fault(section, key, "%q isn't a duration such as 500ms or 20s", v)
	case d < least || d > most:
		r.fault(section, key, "%s isn't between %s and %s", d, least, most)
	}
	return d
}

// addressFault says what is wrong with an IP:port.
func addressFault(v string, portZero bool) string {
	a, err := netip.ParseAddrPort(v)
	switch {
	case err != nil:
		return fmt.Sprintf("%q isn't an address of the form IP:port", v)
	case a.Port() == 0 && !portZero:
		return fmt.Sprintf("%q has port 0", v)
	}
	return ""
}

// listener returns an address to listen on; with port 0 the kernel picks one.
func (r *reader) listener(section, key, absent string) string {
	v, ok := r.value(section, key)
	if !ok {
		return absent
	}
	if fault := addressFault(v, true); fault != "" {
		r.fault(section, key, "%s", fault)
	}
	return v
}

// base returns a required base URL of the form http://IP:port.
func (r *reader) base(section, key string) string {
	v := r.required(section, key)
	if v == "" {
		return v
	}
	u, err := url.Parse(v)
	switch {
	case err != nil || u.Scheme != "http" || u.Host == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" || strings.Trim(u.Path, "/") != "":
		r.fault(section, key, "%q has not the form http://IP:port", v)
	default:
		if fault := addressFault(u.Host, false); fault != "" {
			r.fault(section, key, "%s", fault)
		}
	}
	return strings.TrimSuffix(v, "/")
}
