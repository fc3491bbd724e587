package witness

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// State says what is known of a remembered request. The numbers are those of
// the protocol.
type State uint8

const (
	// StateSent: the request may have been sent.
	StateSent State = iota
	// StateDone: the target's whole response arrived.
	StateDone
	// StateUnknown: the request may or may not have run.
	StateUnknown
	// StateNotRun is reserved in the protocol. It is never sent: a delayed
	// message with it could erase the record of a later attempt that ran.
	StateNotRun
)

// rank orders states by what they say. Records merge to the greater rank, so
// that the order in which copies arrive doesn't matter.
func (s State) rank() int {
	switch s {
	case StateDone:
		return 2
	case StateUnknown:
		return 1
	}
	return 0
}

// Response is a stored response of a target.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

func (r *Response) size() int {
	if r == nil {
		return 0
	}
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Record is one remembered request. A record without an ID is a cover: it says
// that the sender's memory of the range has no gap.
type Record struct {
	ID     core.RequestID
	Range  core.RangeID
	Digest uint64
	State  State
	// Flow and Attempt are those of the request when it was remembered; Flow is
	// 0 if records of several flows were merged.
	Flow    uint64
	Attempt uint32
	// Response is nil unless the request is done and its response is kept.
	Response *Response
	// Age is how long ago the request was first remembered.
	Age time.Duration
}

// Key identifies a remembered request within a deployment.
type Key struct {
	Service core.Service
	ID      core.RequestID
}

// Key returns the key of a record.
func (r Record) Key() Key { return Key{Service: r.Range.Service, ID: r.ID} }

// ProvenNotRun reports whether a request is a later attempt of the flow that
// the record was made for: its entry VM has proof that the record's attempt
// was not run.
func (r Record) ProvenNotRun(later core.Request) bool {
	return r.State == StateSent && r.Flow != 0 && r.Flow == later.Flow && r.Attempt < later.Attempt
}

// Matcher returns a function that reports whether a record of a range may
// belong to one of the ranges asked for. A hot key was part of a numbered range
// before and may be again, and not every VM knows which number, so hot and
// numbered ranges of a service match each other.
func Matcher(asked []core.RangeID) func(core.RangeID) bool {
	type kind struct {
		service core.Service
		hot     bool
	}
	ids := make(map[core.RangeID]struct{}, len(asked))
	others := make(map[kind]struct{})
	for _, id := range asked {
		ids[id] = struct{}{}
		others[kind{service: id.Service, hot: id.HotKey == 0}] = struct{}{}
	}
	return func(held core.RangeID) bool {
		if _, ok := ids[held]; ok {
			return true
		}
		_, ok := others[kind{service: held.Service, hot: held.HotKey != 0}]
		return ok
	}
}

// Batch is what a front stores at a witness in one message.
type Batch struct {
	Front   core.VM
	Target  core.Target
	Token   core.Token
	Records []Record
	// Reset is set on the first message of a full copy, Complete on its last
	// one and on all later ones.
	Reset    bool
	Complete bool
	// RampLimit and Incarnation are the cold-start level of the target.
	RampLimit   int
	Incarnation uint64
}

// Stored answers a Batch.
type Stored struct {
	Stored bool
	// Complete is false if the witness has no full copy of this front's memory.
	Complete bool
}

// Question asks for what is remembered of a target and ranges.
type Question struct {
	Target core.Target
	Ranges []core.RangeID
	// Since is the least token of a memory that counts as complete.
	Since core.Token
}

// Gap says from when on a front's memory is complete, and for how long it still
// matters that it isn't complete before.
type Gap struct {
	// Age is how long ago the gap ended.
	Age time.Duration
	// Left is how long requests from before the gap's end may still be repeated.
	Left time.Duration
}

// Memory answers a question for remembered requests.
type Memory struct {
	// Complete is true if every request of the ranges that may have run is in
	// Records or older than the policy's remember time.
	Complete bool
	// Gap is set by a front whose memory of the one range asked for is complete
	// but for requests from before the gap's end.
	Gap         *Gap
	Records     []Record
	RampLimit   int
	Incarnation uint64
}

// Join returns the union of what one VM remembers as a front and as a witness.
// The front's cold-start level is the newer one.
func (m Memory) Join(other Memory) Memory {
	m.Complete = m.Complete || other.Complete
	m.Records = append(m.Records, other.Records...)
	if m.RampLimit == 0 {
		m.RampLimit, m.Incarnation = other.RampLimit, other.Incarnation
	}
	return m
}
