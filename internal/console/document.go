package console

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// document is a policy document as a list of lines, so that an edit changes
// only the lines concerned and keeps comments and order.
type document struct{ blocks []block }

// block is a section. The first block has no title and holds the lines before
// the first section.
type block struct {
	title string
	lines []string
}

var (
	titlePattern = regexp.MustCompile(`^\s*\[\s*([^\]\s][^\]]*?)\s*\]\s*$`)
	keyPattern   = regexp.MustCompile(`^\s*([^=;#\[\s][^=]*?)\s*=\s*(.*?)\s*$`)
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
)

func parseDocument(text string) *document {
	d := &document{blocks: []block{{}}}
	text = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(text)
	for line := range strings.SplitSeq(strings.TrimSuffix(text, "\n"), "\n") {
		if m := titlePattern.FindStringSubmatch(line); m != nil {
			d.blocks = append(d.blocks, block{title: m[1]})
			continue
		}
		last := &d.blocks[len(d.blocks)-1]
		last.lines = append(last.lines, line)
	}
	return d
}

func (d *document) String() string {
	var out strings.Builder
	for _, b := range d.blocks {
		if b.title != "" {
			out.WriteString("[" + b.title + "]\n")
		}
		for _, l := range b.lines {
			out.WriteString(l + "\n")
		}
	}
	return out.String()
}

// titles lists the sections in order.
func (d *document) titles() []string {
	var out []string
	for _, b := range d.blocks[1:] {
		out = append(out, b.title)
	}
	return out
}

func (d *document) find(title string) *block {
	for i := range d.blocks {
		if i > 0 && d.blocks[i].title == title {
			return &d.blocks[i]
		}
	}
	return nil
}

type pair struct{ key, value string }

func (b *block) pairs() []pair {
	var out []pair
	for _, l := range b.lines {
		if m := keyPattern.FindStringSubmatch(l); m != nil {
			out = append(out, pair{key: m[1], value: m[2]})
		}
	}
	return out
}

// set sets the value of a key, or removes the key if the value is empty.
func (b *block) set(key, value string) {
	for i, l := range b.lines {
		m := keyPattern.FindStringSubmatch(l)
		if m == nil || m[1] != key {
			continue
		}
		switch value {
		case m[2]:
		case "":
			b.lines = slices.Delete(b.lines, i, i+1)
		default:
			b.lines[i] = key + " = " + value
		}
		return
	}
	if value == "" {
		return
	}
	end := len(b.lines)
	for end > 0 && strings.TrimSpace(b.lines[end-1]) == "" {
		end--
	}
	b.lines = slices.Insert(b.lines, end, key+" = "+value)
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
	last := &d.blocks[len(d.blocks)-1]
	if n := len(last.lines); n > 0 && strings.TrimSpace(last.lines[n-1]) != "" || n == 0 && last.title != "" {
		last.lines = append(last.lines, "")
	}
	d.blocks = append(d.blocks, block{title: title})
	return nil
}

func (d *document) remove(title string) {
	d.blocks = slices.DeleteFunc(d.blocks, func(b block) bool { return title != "" && b.title == title })
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
