package console

import (
	"net/url"
	"strings"

	"celeryhook.example/celeryhook/internal/policy"
)

// draft is an edited document and the version that it is based on. It is
// carried in the forms.
type draft struct {
	Base     uint64
	Document string
}

// input is an input element of a form.
type input struct {
	ID      string
	Key     string
	Value   string
	Hint    string
	Choices []string
	Faults  []string
}

// sectionForm is the form of one section.
type sectionForm struct {
	Title  string
	Hint   string
	Faults []string
	Inputs []input
	Limits []input
	// Blank are empty rows for new keys, shown if Free is set.
	Blank []input
	Free  bool
}

// blankRows is the number of keys that can be added to a section at a time.
const blankRows = 3

// validate returns the reasons why a document is invalid.
func validate(document string) policy.Issues {
	_, err := policy.Parse([]byte(document))
	if err == nil {
		return nil
	}
	if issues, ok := err.(policy.Issues); ok {
		return issues
	}
	return policy.Issues{{Section: "document", Reason: err.Error()}}
}

// newSectionForm returns the form of a section, or false if there is no such
// section. rejected maps each key whose submitted value was not applied to the
// reason.
func newSectionForm(d *document, title string, issues policy.Issues, rejected map[string]string) (sectionForm, bool) {
	s := d.find(title)
	if s == nil {
		return sectionForm{}, false
	}
	name, _, _ := strings.Cut(title, " ")
	k := kinds[name]
	form := sectionForm{Title: title, Hint: k.Hint, Free: k.free, Faults: reasonsFor(issues, title, "")}
	values := make(map[string]string)
	order := s.pairs()
	for _, p := range order {
		values[p.key] = p.value
	}
	known := make(map[string]bool)
	for _, f := range k.fields {
		known[f.Key] = true
		in := newInput(title, f, values[f.Key], issues, rejected)
		if f.Limit {
			form.Limits = append(form.Limits, in)
		} else {
			form.Inputs = append(form.Inputs, in)
		}
	}
	for _, p := range order {
		if !known[p.key] {
			known[p.key] = true
			form.Inputs = append(form.Inputs, newInput(title, field{Key: p.key}, p.value, issues, rejected))
		}
	}
	for i := range blankRows {
		form.Blank = append(form.Blank, input{ID: "new" + string(rune('1'+i))})
	}
	return form, true
}

func newInput(title string, f field, value string, issues policy.Issues, rejected map[string]string) input {
	in := input{ID: "key." + f.Key, Key: f.Key, Value: value, Hint: f.Hint, Faults: reasonsFor(issues, title, f.Key)}
	if reason, ok := rejected[f.Key]; ok {
		in.Faults = append(in.Faults, reason)
	}
	if len(f.Choices) > 0 {
		in.Choices = f.Choices
		if !contains(f.Choices, value) {
			in.Choices = append(append([]string(nil), f.Choices...), value)
		}
	}
	return in
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

func reasonsFor(issues policy.Issues, section, key string) []string {
	var out []string
	for _, issue := range issues {
		if issue.Section == section && issue.Key == key {
			out = append(out, issue.Reason)
		}
	}
	return out
}

// applyForm writes the submitted values of a section's form to the section. It
// returns a map from each key whose value can't be written to the reason.
func applyForm(s *section, values url.Values) map[string]string {
	rejected := make(map[string]string)
	put := func(key, value string) {
		value = strings.TrimSpace(value)
		if reason := checkPair(key, value); reason != "" {
			rejected[key] = reason
			return
		}
		if key != "" {
			s.set(key, value)
		}
	}
	for name, v := range values {
		if key, ok := strings.CutPrefix(name, "key."); ok {
			put(key, v[0])
		}
	}
	for i := range blankRows {
		id := "new" + string(rune('1'+i))
		put(strings.TrimSpace(values.Get(id+".key")), values.Get(id+".value"))
	}
	return rejected
}
