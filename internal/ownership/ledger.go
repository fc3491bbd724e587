package ownership

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/replica"
)

const leadKey = "lead"

// Lead names the assigner.
type Lead struct {
	VM          core.VM `json:"vm"`
	Incarnation int64   `json:"incarnation"`
}

// View is an immutable picture of the ledger.
type View struct {
	Lead     Lead
	Services map[core.Service]*Cells
	// Next is the offset at which the stream ended.
	Next int64
}

// Unit returns the unit of a key.
func Unit(key uint16) int { return int(key) / KeysPerUnit }

// Cell returns who owns a key, and false if the service was never divided.
func (v *View) Cell(s core.Service, key uint16) (Cell, bool) {
	cells, ok := v.Services[s]
	if !ok {
		return Cell{}, false
	}
	c := cells.At(Unit(key))
	return c, !c.Owner.None()
}

// Ledger folds the stream of owners. It is not safe for concurrent use.
type Ledger struct {
	view View
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{view: View{Services: make(map[core.Service]*Cells)}}
}

// View returns the present picture.
func (l *Ledger) View() *View {
	v := l.view
	v.Services = make(map[core.Service]*Cells, len(l.view.Services))
	for s, cells := range l.view.Services {
		v.Services[s] = cells
	}
	return &v
}

// Apply folds records in. The error names records that were skipped.
func (l *Ledger) Apply(records []replica.Record, next int64) error {
	var skipped error
	copied := make(map[core.Service]bool)
	for _, r := range records {
		if err := l.apply(r, copied); err != nil {
			skipped = err
		}
	}
	l.view.Next = max(l.view.Next, next)
	return skipped
}

func (l *Ledger) apply(r replica.Record, copied map[core.Service]bool) error {
	if r.Deleted {
		return fmt.Errorf("ownership: record %q was deleted", r.Key)
	}
	if r.Key == leadKey {
		var lead Lead
		if err := json.Unmarshal(r.Value, &lead); err != nil {
			return fmt.Errorf("ownership: lead: %w", err)
		}
		l.view.Lead = lead
		return nil
	}
	service, block, err := parseKey(r.Key)
	if err != nil {
		return err
	}
	runs, err := decodeRuns(r.Value)
	if err != nil {
		return fmt.Errorf("ownership: record %q: %w", r.Key, err)
	}
	cells := l.view.Services[service]
	if !copied[service] {
		if cells == nil {
			cells = NewCells()
		}
		cells, copied[service] = cells.Clone(), true
		l.view.Services[service] = cells
	}
	for _, run := range runs {
		for u := max(run.From, block*unitsPerBlock); u <= min(run.To, (block+1)*unitsPerBlock-1); u++ {
			cells.Set(u, run.cell())
		}
	}
	return nil
}

// run is a row of units with the same state, as it is written.
type run struct {
	From     int     `json:"from"`
	To       int     `json:"to"`
	Owner    Holder  `json:"owner"`
	Fence    int64   `json:"fence"`
	Previous *Holder `json:"previous,omitempty"`
}

func (r run) cell() Cell {
	c := Cell{Owner: r.Owner, Fence: r.Fence}
	if r.Previous != nil {
		c.Previous = *r.Previous
	}
	return c
}

func decodeRuns(b []byte) ([]run, error) {
	var runs []run
	if err := json.Unmarshal(b, &runs); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	for _, r := range runs {
		if r.From < 0 || r.To >= Units || r.From > r.To || r.Owner.None() {
			return nil, fmt.Errorf("row of units %d to %d owned by %q is not valid", r.From, r.To, r.Owner.Target)
		}
	}
	return runs, nil
}

func blockKey(s core.Service, block int) string { return string(s) + "/" + strconv.Itoa(block) }

func parseKey(key string) (core.Service, int, error) {
	i := strings.LastIndexByte(key, '/')
	if i <= 0 {
		return "", 0, fmt.Errorf("ownership: key %q has not the form service/block", key)
	}
	block, err := strconv.Atoi(key[i+1:])
	if err != nil || block < 0 || block >= numBlocks {
		return "", 0, fmt.Errorf("ownership: key %q names no block", key)
	}
	return core.Service(key[:i]), block, nil
}

// encodeBlock returns the record of a block.
func encodeBlock(s core.Service, block int, cells *Cells) (replica.Record, error) {
	var runs []run
	for row := range cells.rows(block*unitsPerBlock, (block+1)*unitsPerBlock) {
		if row.Cell.Owner.None() {
			continue
		}
		r := run{From: row.From, To: row.To, Owner: row.Cell.Owner, Fence: row.Cell.Fence}
		if row.Cell.Moving() {
			r.Previous = &row.Cell.Previous
		}
		runs = append(runs, r)
	}
	b, err := json.Marshal(runs)
	if err != nil {
		return replica.Record{}, fmt.Errorf("ownership: encode block %d of %s: %w", block, s, err)
	}
	return replica.Record{Key: blockKey(s, block), Value: b}, nil
}
