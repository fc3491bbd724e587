package ownership

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/replica"
)

const leaderKey = "lead"

// Leader is the VM process that runs the assigner.
type Leader struct {
	VM          core.VM `json:"vm"`
	Incarnation int64   `json:"incarnation"`
}

// leaderRecord is the stored form of the leader.
type leaderRecord struct {
	Leader
	// GrantMs is how long grants last, in milliseconds.
	GrantMs int64 `json:"grant_ms,omitempty"`
	// Era is the era of the store for which the record was written.
	Era int64 `json:"era,omitempty"`
	// Restored states how much of the ledger was confirmed when it was restored in
	// this era.
	Restored Confirmation `json:"restored,omitempty"`
}

// View is an immutable snapshot of the ledger.
type View struct {
	Leader   Leader
	Services map[core.Service]*Assignments
	// Next is the offset up to which the records are applied.
	Next int64
	// StreamEnd is the offset at which the stream ended. It is in a later era than
	// Next from a loss of the store's newest records until the ledger is restored.
	StreamEnd int64
	// Restored states how much of the ledger was confirmed when it was restored.
	Restored Confirmation
	// Overwritten is the offset of the last record that was written for an earlier
	// era and has replaced one of this era in the store, or 0.
	Overwritten int64
	// grantDuration is the duration of grants that leaders have written. It never
	// decreases, so that no VM with an older ledger grants for longer.
	grantDuration time.Duration
	// stored is the ledger that the store holds while this one is not in force.
	stored *View
}

// InForce reports whether the ledger is the one that the store holds. Otherwise the
// store has lost its newest records and the ledger has not been restored yet.
func (v *View) InForce() bool { return replica.Era(v.StreamEnd) == replica.Era(v.Next) }

// GrantDuration returns how long grants last.
func (v *View) GrantDuration() time.Duration {
	return min(max(v.grantDuration, minGrantDuration), maxGrantDuration)
}

// Unit returns the unit of a key.
func Unit(key uint16) int { return int(key) / KeysPerUnit }

// Assignment returns the assignment of a key, and false if the key has no owner.
func (v *View) Assignment(s core.Service, key uint16) (Assignment, bool) {
	assignments, ok := v.Services[s]
	if !ok {
		return Assignment{}, false
	}
	assignment := assignments.At(Unit(key))
	return assignment, !assignment.Owner.IsZero()
}

// Ledger is the state built from the owners stream. It is not safe for
// concurrent use.
type Ledger struct {
	view View
	// pending holds the records of the store while the ledger is not in force.
	pending map[string]replica.Record
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{view: View{Services: make(map[core.Service]*Assignments)}}
}

// View returns a snapshot of the current state.
func (l *Ledger) View() *View {
	v := l.view
	v.Services = maps.Clone(l.view.Services)
	return &v
}

// Apply applies records to the state. Invalid records are skipped; the error
// describes the last of them.
//
// When the store has lost its newest records, the ledger keeps what it knew until
// a leader has written the whole ledger again in the new era.
func (l *Ledger) Apply(records []replica.Record, next int64) error {
	if replica.Era(next) > replica.Era(l.view.StreamEnd) {
		l.pending = make(map[string]replica.Record)
	}
	l.view.StreamEnd = max(l.view.StreamEnd, next)
	if l.view.InForce() {
		l.view.Next = l.view.StreamEnd
		return l.applyInForce(records)
	}
	for _, r := range records {
		if replica.Era(r.Offset) == replica.Era(l.view.StreamEnd) {
			l.pending[r.Key] = r
		}
	}
	return l.restore()
}

// restore replaces the ledger by the one of the new era once that was written.
func (l *Ledger) restore() error {
	stored, restored, err := decodeLedger(l.pending, l.view.StreamEnd)
	if !restored {
		l.view.stored = stored
		return nil // records of other eras were not written for this one
	}
	stored.grantDuration = max(stored.grantDuration, l.view.grantDuration)
	l.view, l.pending = *stored, nil
	return err
}

// decodeLedger returns the ledger that records describe, and whether a leader wrote
// it in the era of the stream's end. If not, it is what the store held when it
// was copied.
func decodeLedger(records map[string]replica.Record, end int64) (*View, bool, error) {
	l := &Ledger{view: View{Services: make(map[core.Service]*Assignments), Next: end, StreamEnd: end}}
	sorted := slices.SortedFunc(maps.Values(records), func(a, b replica.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	var leader leaderRecord
	r, ok := records[leaderKey]
	restored := ok && json.Unmarshal(r.Value, &leader) == nil && leader.Era == replica.Era(end)
	var skipped error
	copied := make(map[core.Service]bool)
	for _, r := range sorted {
		if r.Deleted {
			continue
		}
		if err := l.apply(r, copied, restored); err != nil {
			skipped = err
		}
	}
	return &l.view, restored, skipped
}

func (l *Ledger) applyInForce(records []replica.Record) error {
	var skipped error
	copied := make(map[core.Service]bool)
	for _, r := range records {
		if replica.Era(r.Offset) < replica.Era(l.view.Next) {
			continue
		}
		if err := l.apply(r, copied, true); err != nil {
			skipped = err
		}
	}
	return skipped
}

// apply applies a record. If sameEra is set, the record must have been written for
// the era in which it lies: the condition of an append doesn't name the era.
func (l *Ledger) apply(r replica.Record, copied map[core.Service]bool, sameEra bool) error {
	if r.Deleted {
		return fmt.Errorf("ownership: record %q was deleted", r.Key)
	}
	if r.Key == leaderKey {
		return l.applyLeader(r, sameEra)
	}
	service, block, err := parseKey(r.Key)
	if err != nil {
		return err
	}
	ranges, err := decodeRanges(r.Value)
	if err != nil {
		return fmt.Errorf("ownership: record %q: %w", r.Key, err)
	}
	if sameEra && len(ranges) > 0 && ranges[0].Era != replica.Era(r.Offset) {
		l.view.Overwritten = r.Offset
		return fmt.Errorf("ownership: record %q was written for era %d and lies in era %d", r.Key, ranges[0].Era, replica.Era(r.Offset))
	}
	assignments := l.view.Services[service]
	if !copied[service] {
		if assignments == nil {
			assignments = NewAssignments()
		}
		assignments, copied[service] = assignments.Clone(), true
		l.view.Services[service] = assignments
	}
	for _, rr := range ranges {
		for u := max(rr.From, block*unitsPerBlock); u <= min(rr.To, (block+1)*unitsPerBlock-1); u++ {
			assignments.Set(u, rr.assignment())
		}
	}
	return nil
}

func (l *Ledger) applyLeader(r replica.Record, sameEra bool) error {
	var leader leaderRecord
	if err := json.Unmarshal(r.Value, &leader); err != nil {
		return fmt.Errorf("ownership: decode leader: %w", err)
	}
	if sameEra && leader.Era != replica.Era(r.Offset) {
		l.view.Overwritten = r.Offset
		return fmt.Errorf("ownership: leader %s was written for era %d and lies in era %d", leader.VM, leader.Era, replica.Era(r.Offset))
	}
	l.view.Leader, l.view.Restored = leader.Leader, leader.Restored
	l.view.grantDuration = max(l.view.grantDuration, time.Duration(leader.GrantMs)*time.Millisecond)
	return nil
}

// rangeRecord is the stored form of a range of units with the same assignment.
type rangeRecord struct {
	From     int     `json:"from"`
	To       int     `json:"to"`
	Owner    Holder  `json:"owner"`
	Token    int64   `json:"fence"`
	Previous *Holder `json:"previous,omitempty"`
	// Era is the era of the store for which the record was written.
	Era int64 `json:"era,omitempty"`
}

func (r rangeRecord) assignment() Assignment {
	a := Assignment{Owner: r.Owner, Token: r.Token}
	if r.Previous != nil {
		a.Previous = *r.Previous
	}
	return a
}

func decodeRanges(b []byte) ([]rangeRecord, error) {
	var ranges []rangeRecord
	if err := json.Unmarshal(b, &ranges); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	for _, r := range ranges {
		if r.From < 0 || r.To >= Units || r.From > r.To || r.Owner.IsZero() {
			return nil, fmt.Errorf("invalid range of units %d to %d owned by %q", r.From, r.To, r.Owner.Target)
		}
	}
	return ranges, nil
}

func blockKey(s core.Service, block int) string { return string(s) + "/" + strconv.Itoa(block) }

func parseKey(key string) (core.Service, int, error) {
	i := strings.LastIndexByte(key, '/')
	if i <= 0 {
		return "", 0, fmt.Errorf("ownership: key %q does not have the form service/block", key)
	}
	block, err := strconv.Atoi(key[i+1:])
	if err != nil || block < 0 || block >= numBlocks {
		return "", 0, fmt.Errorf("ownership: key %q has an invalid block number", key)
	}
	return core.Service(key[:i]), block, nil
}

// encodeBlock returns the ledger record of a block for an era of the store.
func encodeBlock(s core.Service, block int, assignments *Assignments, era int64) (replica.Record, error) {
	var ranges []rangeRecord
	for ar := range assignments.ranges(block*unitsPerBlock, (block+1)*unitsPerBlock) {
		if ar.Assignment.Owner.IsZero() {
			continue
		}
		r := rangeRecord{From: ar.From, To: ar.To, Owner: ar.Assignment.Owner, Token: ar.Assignment.Token, Era: era}
		if ar.Assignment.Moving() {
			r.Previous = &ar.Assignment.Previous
		}
		ranges = append(ranges, r)
	}
	b, err := json.Marshal(ranges)
	if err != nil {
		return replica.Record{}, fmt.Errorf("ownership: encode block %d of %s: %w", block, s, err)
	}
	return replica.Record{Key: blockKey(s, block), Value: b}, nil
}
