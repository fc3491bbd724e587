package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// entry holds the fields of a benchmark's journal entry that the page shows.
type entry struct {
	ID string `json:"id"`
	// At is the start and the end of the run.
	At    []string `json:"at"`
	Site  string   `json:"site"`
	Why   string   `json:"why"`
	Score *float64 `json:"score"`
	Days  []day    `json:"days"`
}

type day struct {
	Name string `json:"name"`
	// Worth is the day's score after prices, Mark the upper mark of the
	// deployment.
	Worth float64 `json:"G"`
	Mark  float64 `json:"top"`
	// Served, Refused and Failed are shares of the requests that were due.
	Served  float64        `json:"served"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	Rules   map[string]any `json:"rules"`
	// Parts are triples of name, weight and value; Prices are triples of name,
	// amount and price.
	Parts  []triple `json:"parts"`
	Prices []triple `json:"prices"`
}

// triple is encoded as a JSON array of a name and two numbers.
type triple struct {
	Name string
	A, B float64
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *triple) UnmarshalJSON(b []byte) error {
	return json.Unmarshal(b, &[]any{&t.Name, &t.A, &t.B})
}

// minPrice is the lowest price that is plotted.
const minPrice = 0.002

// FromJournal returns a page for a journal entry.
func FromJournal(r io.Reader) (*Page, error) {
	var e entry
	if err := json.NewDecoder(r).Decode(&e); err != nil {
		return nil, fmt.Errorf("report: journal entry: %w", err)
	}
	if len(e.Days) == 0 {
		return nil, fmt.Errorf("report: journal entry %q has no days", e.ID)
	}
	p := &Page{Title: fmt.Sprintf("%s, %s", e.Site, e.ID), Notes: []string{strings.Join(e.At, " to "), e.Why}}
	if e.Score != nil {
		p.Notes = append(p.Notes, fmt.Sprintf("score %.3f", *e.Score))
	}
	worth := Chart{Title: "Worth of each day, and its upper mark", Series: []string{"worth", "mark"}}
	outcome := Chart{Title: "Served, refused and failed", Series: []string{"served", "refused", "failed"}}
	for _, d := range e.Days {
		name := d.Name
		if len(d.Rules) > 0 {
			name += " (rules broken)"
		}
		worth.Bars = append(worth.Bars, Bar{Label: name, Values: []float64{d.Worth, d.Mark}})
		outcome.Bars = append(outcome.Bars, Bar{Label: d.Name, Values: []float64{d.Served, d.Refused, d.Failed}})
	}
	p.Charts = append(p.Charts, worth, outcome)
	for _, d := range e.Days {
		parts := Chart{Title: d.Name + ": parts", Series: []string{"value"}}
		for _, t := range d.Parts {
			parts.Bars = append(parts.Bars, Bar{Label: fmt.Sprintf("%s (weight %.3f)", t.Name, t.A), Values: []float64{t.B}})
		}
		prices := Chart{Title: d.Name + ": prices", Series: []string{"price"}}
		for _, t := range d.Prices {
			if t.B >= minPrice {
				prices.Bars = append(prices.Bars, Bar{Label: fmt.Sprintf("%s (%.6g)", t.Name, t.A), Values: []float64{t.B}})
			}
		}
		p.Charts = append(p.Charts, parts, prices)
	}
	return p, nil
}
