package platformlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

// document returns a valid policy that differs by its value of remember.
func document(remember int) string {
	return fmt.Sprintf(`
[deployment]
name = test
failure_domains = north, south
[control]
remember = %ds
log_retention = 1m
log_records = 30
[service s]
[target t]
service = s
failure_domain = north
address = 127.0.0.1:7000
[route r]
path = /
service = s
`, 60+remember%3000)
}

// testLog is an in-memory log whose oldest records can expire.
type testLog struct {
	entries []Entry
	end     uint64
}

func (l *testLog) append(r Record) uint64 {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	return l.appendData(data)
}

func (l *testLog) appendData(data []byte) uint64 {
	l.end++
	l.entries = append(l.entries, Entry{Offset: l.end, Data: data})
	return l.end
}

func (l *testLog) expire(n int) { l.entries = l.entries[min(max(n, 0), len(l.entries)):] }

func (l *testLog) page(from uint64, limit int) Page {
	p := Page{First: l.end + 1}
	if len(l.entries) > 0 {
		p.First = l.entries[0].Offset
	}
	for _, e := range l.entries {
		if e.Offset >= from && len(p.Entries) < limit {
			p.Entries = append(p.Entries, e)
		}
	}
	return p
}

// catchUp reads the log to its end, also if a snapshot must be found first.
func catchUp(r *Replay, l *testLog) {
	for range 50 {
		from := r.NextOffset()
		r.ApplyPage(from, l.page(from, 7))
	}
}

// drawRecord returns a record that may be valid, stale, a duplicate or invalid.
func drawRecord(t *rapid.T, states []State, serial int) Record {
	st := states[len(states)-1]
	r := Record{ID: fmt.Sprint("id-", serial), Author: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "author")}
	r.Kind = rapid.SampledFrom([]Kind{KindPolicy, KindTerm, KindDomain, KindReleased, KindSnapshot}).Draw(t, "kind")
	r.FailureDomain = rapid.SampledFrom([]core.FailureDomain{"north", "south"}).Draw(t, "domain")
	r.Base = st.versionFor(r) - uint64(rapid.IntRange(0, 5).Draw(t, "stale")/5)
	if rapid.IntRange(0, 9).Draw(t, "repeat") == 0 && serial > 0 {
		r.ID = fmt.Sprint("id-", serial-1)
	}
	switch r.Kind {
	case KindPolicy:
		r.Document = document(serial)
	case KindTerm:
		r.Coordinator, r.Candidates = "a", []core.VM{"b"}
	case KindDomain:
		r.State = rapid.SampledFrom([]DomainState{DomainIn, DomainOut, DomainLost, "gone"}).Draw(t, "state")
	case KindSnapshot:
		// Other records may be appended while a snapshot is being written.
		r.Snapshot = &states[max(0, len(states)-rapid.IntRange(1, 4).Draw(t, "behind"))]
	}
	return r
}

// Guards against states that differ between VMs: a reader that starts late or
// misses expired records must reach the same state as one that read everything,
// or keep its state.
func TestReplaysReachSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &testLog{}
		var complete, lagging Replay
		states := []State{{}}
		for i := range rapid.IntRange(1, 40).Draw(t, "records") {
			log.append(drawRecord(t, states, i))
			catchUp(&complete, log)
			states = append(states, complete.State())
			switch rapid.IntRange(0, 5).Draw(t, "then") {
			case 0:
				log.expire(rapid.IntRange(0, 3).Draw(t, "expire"))
			case 1:
				before := lagging.State()
				catchUp(&lagging, log)
				after := lagging.State()
				if after.Offset < before.Offset || after.PolicyVersion < before.PolicyVersion {
					t.Fatalf("state went back from offset %d to %d", before.Offset, after.Offset)
				}
			}
		}
		var late Replay
		for _, r := range []*Replay{&lagging, &late} {
			catchUp(r, log)
			if !r.InGap() && !equalStates(r.State(), complete.State()) {
				t.Fatalf("states differ:\n%+v\n%+v", r.State(), complete.State())
			}
			if ok, err := r.Adopt(complete.State()); err != nil || (!ok && !equalStates(r.State(), complete.State())) {
				t.Fatalf("state of a peer was not adopted: %v", err)
			}
		}
	})
}

// equalStates compares states by their JSON encoding, in which nil and empty
// values are equal.
func equalStates(a, b State) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	if errX != nil || errY != nil {
		return false
	}
	var u, v State
	_ = json.Unmarshal(x, &u)
	_ = json.Unmarshal(y, &v)
	return reflect.DeepEqual(u, v)
}

// Guards against a log from which a new VM can't read the state: snapshots must
// be appended in time before earlier records expire.
func TestSnapshotsOutliveRetention(t *testing.T) {
	is := is.New(t)
	log, timer, reader, now := &testLog{}, SnapshotTimer{}, Replay{}, core.Instant(0)
	log.append(Record{Kind: KindPolicy, ID: "p", Document: document(1)})
	log.append(Record{Kind: KindTerm, ID: "t", Author: "a", FailureDomain: "north", Coordinator: "a"})
	p, err := policy.Parse([]byte(document(1)))
	is.NoErr(err)
	snapshots := 0
	for i := range 400 {
		now = now.Add(time.Second)
		log.appendData([]byte(fmt.Sprint("noise ", i)))
		log.expire(len(log.entries) - p.Control.LogRecords)
		catchUp(&reader, log)
		var record *Record
		if timer, record = timer.Step(now, "a", reader.State(), p); record != nil {
			snapshots++
			log.append(*record)
		}
		_, other := SnapshotTimer{}.Step(now, "b", reader.State(), p)
		is.True(other == nil) // only one VM appends snapshots
		var fresh Replay
		catchUp(&fresh, log)
		is.True(!fresh.InGap())
		is.Equal(fresh.State().Document, document(1))
	}
	// Ten records, or 20 s with a record each second, are a third.
	is.True(snapshots >= 36 && snapshots <= 45)
}

// Guards against records applied after a gap: a record that is based on a state
// that the reader doesn't know could be accepted wrongly.
func TestRecordsAfterGapAreNotApplied(t *testing.T) {
	is := is.New(t)
	log := &testLog{}
	log.append(Record{Kind: KindPolicy, ID: "p1", Document: document(1)})
	r := NewReader("vm")
	r.Step(0, Tick{})
	out := r.Step(0, PageRead{From: 1, Limit: 10, Page: log.page(1, 10)})
	is.Equal(len(out), 3) // StateChanged, CaughtUp, Read
	log.append(Record{Kind: KindPolicy, ID: "p2", Base: 1, Document: document(2)})
	log.append(Record{Kind: KindPolicy, ID: "p3", Base: 1, Document: document(3)})
	log.expire(2)
	out = r.Step(0, PageRead{From: 2, Limit: 10, Page: log.page(2, 10)})
	is.Equal(out, []Output{GapFound{Wanted: 2, First: 3}, Read{From: 4, Limit: int(maxReadSize), Wait: readWait}})
	peer := State{Offset: 3, PolicyVersion: 2, Document: document(2)}
	out = r.Step(0, PeerState{State: peer})
	changed, ok := out[0].(StateChanged)
	is.True(ok && changed.State.PolicyVersion == 2 && changed.Policy.Control.IDRetention == 62*time.Second)
	out = r.Step(0, PeerState{State: State{Offset: 9, PolicyVersion: 1, Document: document(1)}})
	skipped, ok := out[0].(Skipped)
	is.True(ok && errors.Is(skipped.Err, ErrInvalidState)) // an older policy version is rejected
	out = r.Step(0, PageRead{From: 4, Limit: 10, Page: log.page(4, 10)})
	is.Equal(out[0], CaughtUp{})
}

// Guards against a replay that never gets past large records: if a page takes
// longer than the time-out of a read, reads must request fewer records.
func TestReadsShrinkAfterFailures(t *testing.T) {
	is := is.New(t)
	r, now, limit := NewReader("vm"), core.Instant(0), 0
	r.Step(now, Tick{})
	for range 12 {
		r.Step(now, ReadFailed{Err: ErrUnavailable})
		now = now.Add(maxRetryDelay)
		for _, o := range r.Step(now, Tick{}) {
			limit = o.(Read).Limit
		}
	}
	is.Equal(limit, 1)
	log := &testLog{}
	log.append(Record{Kind: KindPolicy, ID: "p1", Document: document(1)})
	out := r.Step(now, PageRead{From: 1, Limit: 1, Page: log.page(1, 1)})
	is.Equal(len(out), 2) // StateChanged and Read, but not CaughtUp: a full page may not be the last
	is.Equal(out[1].(Read).Limit, 2)
}

// Guards against an invalid state that is adopted from a peer and spreads to
// every VM.
func TestValidate(t *testing.T) {
	good := func() State {
		return State{
			Offset: 9, PolicyVersion: 3, Document: document(1), Seen: []string{"x"},
			Terms:      map[core.FailureDomain]Term{"north": {Number: 4, Coordinator: "a", Candidates: []core.VM{"b"}}},
			Delegation: Delegation{Number: 5, States: map[core.FailureDomain]DomainState{"south": DomainOut}},
		}
	}
	if err := good().Validate(); err != nil {
		t.Fatal(err)
	}
	for name, corrupt := range map[string]func(*State){
		"version after offset":     func(st *State) { st.PolicyVersion = 10 },
		"bad document":             func(st *State) { st.Document = "[x]" },
		"missing document":         func(st *State) { st.Document = "" },
		"term after offset":        func(st *State) { st.Terms["north"] = Term{Number: 10, Coordinator: "a"} },
		"term without coordinator": func(st *State) { st.Terms["north"] = Term{Number: 4} },
		"duplicate candidate":      func(st *State) { st.Terms["north"] = Term{Number: 4, Coordinator: "a", Candidates: []core.VM{"a"}} },
		"unknown state":            func(st *State) { st.Delegation.States["south"] = "away" },
		"too many ids":             func(st *State) { st.Seen = make([]string, maxSeenIDs+1) },
	} {
		st := good()
		corrupt(&st)
		if err := st.Validate(); !errors.Is(err, ErrInvalidState) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against panics on arbitrary bytes in the log.
func FuzzDecodeRecord(f *testing.F) {
	r := Record{Kind: KindPolicy, ID: "p", Document: document(1)}
	data, _ := r.Encode()
	f.Add(data)
	f.Add([]byte(`{"kind":"snapshot","id":"s","folded":{"offset":0,"terms":{"":{}}}}`))
	f.Add([]byte(`{"kind":"term","id":"t","candidates":["a","a"]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := DecodeRecord(data); err != nil {
			if !errors.Is(err, ErrInvalidRecord) {
				t.Fatalf("error does not wrap ErrInvalidRecord: %v", err)
			}
		} else if r.Validate() != nil {
			t.Fatal("DecodeRecord returned an invalid record")
		}
	})
}

// Guards against invalid states: after any sequence of records the state must be
// valid and at the last offset, and only accepted records may change it.
func FuzzApply(f *testing.F) {
	one, _ := Record{Kind: KindTerm, ID: "t", Author: "a", FailureDomain: "north", Coordinator: "a"}.Encode()
	two, _ := Record{Kind: KindPolicy, ID: "p", Document: document(1)}.Encode()
	f.Add(one, two)
	f.Add(two, []byte(`{"kind":"domain","id":"d","failure_domain":"north","state":"out"}`))
	f.Add(two, []byte(`{"kind":"snapshot","id":"s","folded":{"offset":1}}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		var state State
		for i, data := range [][]byte{first, second, first} {
			offset := uint64(i + 1)
			r, err := DecodeRecord(data)
			if err != nil {
				state = state.Skip(offset)
				continue
			}
			next, err := state.Apply(offset, r)
			if err != nil && !reflect.DeepEqual(next, state.Skip(offset)) {
				t.Fatalf("a skipped record changed the state: %v", err)
			}
			if invalid := next.Validate(); next.Offset != offset || invalid != nil {
				t.Fatalf("state at %d: %v", next.Offset, invalid)
			}
			state = next
		}
	})
}

// Guards against a state that expires from the log: the author of snapshots must
// append one once a third of the retention has passed.
func TestReaderAppendsSnapshots(t *testing.T) {
	is := is.New(t)
	r := NewReader("a")
	r.Step(0, Tick{})
	document := "[deployment]\nname = d\nfailure_domains = d1\n[control]\nlog_records = 30\n" +
		"[service s]\n[target t]\nservice = s\nfailure_domain = d1\naddress = 127.0.0.1:1\n[route r]\npath = /s\nservice = s\n"
	var entries []Entry
	add := func(rec Record) {
		data, err := rec.Encode()
		is.NoErr(err)
		entries = append(entries, Entry{Offset: uint64(len(entries) + 1), Data: data})
	}
	add(Record{Kind: KindPolicy, ID: "p", Document: document})
	add(Record{Kind: KindTerm, ID: "t", Author: "a", FailureDomain: "d1", Coordinator: "a"})
	snapshots := 0
	for i := range 40 {
		add(Record{Kind: KindReleased, ID: fmt.Sprint("r", i), Base: 99})
		from := r.replay.NextOffset()
		page := Page{First: 1, Entries: entries[from-1:]}
		for _, o := range r.Step(core.Instant(i)*core.Instant(time.Second), PageRead{From: from, Limit: 99, Page: page}) {
			if a, ok := o.(AppendSnapshot); ok {
				snapshots++
				add(a.Record)
			}
		}
	}
	is.True(snapshots >= 4) // one at the start, then one each 10 records
}
