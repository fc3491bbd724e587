package console

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// document is a policy document as a list of lines, so that an edit changes
// only the affected lines and keeps comments and order.
type document struct{ sections []section }

// section is a section of the document. The first element of document.sections
// has no title and holds the lines before the first section.
type section struct {
	title string
	lines []string
}

var (
	titlePattern = regexp.MustCompile(`^\s*\[\s*([^\]\s][^\]]*?)\s*\]\s*$`)
	keyPattern   = regexp.MustCompile(`^\s*([^=;#\[\s][^=]*?)\s*=\s*(.*?)\s*$`)
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
)

func parseDocument(text string) *document {
	d := &document{sections: []section{{}}}
	text = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(text)
	for line := range strings.SplitSeq(strings.TrimSuffix(text, "\n"), "\n") {
		if m := titlePattern.FindStringSubmatch(line); m != nil {
			d.sections = append(d.sections, section{title: m[1]})
			continue
		}
		last := &d.sections[len(d.sections)-1]
		last.lines = append(last.lines, line)
	}
	return d
}

func (d *document) String() string {
	var out strings.Builder
	for _, s := range d.sections {
		if s.title != "" {
			out.WriteString("[" + s.title + "]\n")
		}
		for _, l := range s.lines {
			out.WriteString(l + "\n")
		}
	}
	return out.String()
}

// titles lists the sections in order.
func (d *document) titles() []string {
	var out []string
	for _, s := range d.sections[1:] {
		out = append(out, s.title)
	}
	return out
}

func (d *document) find(title string) *section {
	for i := range d.sections {
		if i > 0 && d.sections[i].title == title {
			return &d.sections[i]
		}
	}
	return nil
}

type pair struct{ key, value string }

func (s *section) pairs() []pair {
	var out []pair
	for _, l := range s.lines {
		if m := keyPattern.FindStringSubmatch(l); m != nil {
			out = append(out, pair{key: m[1], value: m[2]})
		}
	}
	return out
}

// set sets the value of a key, or removes the key if the value is empty.
func (s *section) set(key, value string) {
	for i, l := range s.lines {
		m := keyPattern.FindStringSubmatch(l)
		if m == nil || m[1] != key {
			continue
		}
		switch value {
		case m[2]:
		case "":
			s.lines = slices.Delete(s.lines, i, i+1)
		default:
			s.lines[i] = key + " = " + value
		}
		return
	}
	if value == "" {
		return
	}
	end := len(s.lines)
	for end > 0 && strings.TrimSpace(s.lines[end-1]) == "" {
		end--
	}
	s.lines = slices.Insert(s.lines, end, key+" = "+value)
}

// add appends a section.
func (d *document) add(title string) error {
	kind, name, named := strings.Cut(title, " ")
	k, ok := kinds[kind]
	switch {
	case !ok:
		return fmt.Errorf("there is no kind of section %q", kind)
	case k.named != named:
		return fmt.Errorf("a section %q needs a name", kind)
	case named && !namePattern.MatchString(name):
		return fmt.Errorf("the name %q must be 1 to 64 letters, digits, dots, hyphens or underscores and start with a letter or digit", name)
	case d.find(title) != nil:
		return fmt.Errorf("there is already a section [%s]", title)
	}
	last := &d.sections[len(d.sections)-1]
	if n := len(last.lines); n > 0 && strings.TrimSpace(last.lines[n-1]) != "" || n == 0 && last.title != "" {
		last.lines = append(last.lines, "")
	}
	d.sections = append(d.sections, section{title: title})
	return nil
}

func (d *document) remove(title string) {
	d.sections = slices.DeleteFunc(d.sections, func(s section) bool { return title != "" && s.title == title })
}

// checkPair returns the reason why a key and a value can't be written as a
// line of the document, or an empty string.
func checkPair(key, value string) string {
	switch {
	case strings.ContainsAny(value, "\r\n"):
		return "the value must be on one line"
	case value != strings.TrimSpace(value):
		return "the value must not begin or end with a space"
	case key == "" && value != "":
		return "the value has no key"
	case key != "" && !keyPattern.MatchString(key+" = x") || strings.ContainsAny(key, "=\r\n"):
		return fmt.Sprintf("%q can't be a key", key)
	}
	return ""
}
