package ownership

import (
	"encoding/json"
	"fmt"
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
}

// View is an immutable snapshot of the ledger.
type View struct {
	Leader   Leader
	Services map[core.Service]*Assignments
	// Next is the offset at which the stream ended.
	Next int64
	// grantDuration is the duration of grants that leaders have written. It never
	// decreases, so that no VM with an older ledger grants for longer.
	grantDuration time.Duration
}

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
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{view: View{Services: make(map[core.Service]*Assignments)}}
}

// View returns a snapshot of the current state.
func (l *Ledger) View() *View {
	v := l.view
	v.Services = make(map[core.Service]*Assignments, len(l.view.Services))
	for s, assignments := range l.view.Services {
		v.Services[s] = assignments
	}
	return &v
}

// Apply applies records to the state. Invalid records are skipped; the error
// describes the last of them.
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
	if r.Key == leaderKey {
		var leader leaderRecord
		if err := json.Unmarshal(r.Value, &leader); err != nil {
			return fmt.Errorf("ownership: decode leader: %w", err)
		}
		l.view.Leader = leader.Leader
		l.view.grantDuration = max(l.view.grantDuration, time.Duration(leader.GrantMs)*time.Millisecond)
		return nil
	}
	service, block, err := parseKey(r.Key)
	if err != nil {
		return err
	}
	ranges, err := decodeRanges(r.Value)
	if err != nil {
		return fmt.Errorf("ownership: record %q: %w", r.Key, err)
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

// rangeRecord is the stored form of a range of units with the same assignment.
type rangeRecord struct {
	From     int     `json:"from"`
	To       int     `json:"to"`
	Owner    Holder  `json:"owner"`
	Token    int64   `json:"fence"`
	Previous *Holder `json:"previous,omitempty"`
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

// encodeBlock returns the ledger record of a block.
func encodeBlock(s core.Service, block int, assignments *Assignments) (replica.Record, error) {
	var ranges []rangeRecord
	for ar := range assignments.ranges(block*unitsPerBlock, (block+1)*unitsPerBlock) {
		if ar.Assignment.Owner.IsZero() {
			continue
		}
		r := rangeRecord{From: ar.From, To: ar.To, Owner: ar.Assignment.Owner, Token: ar.Assignment.Token}
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
