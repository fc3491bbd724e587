package witness

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// State is the known state of a recorded request. The values are those of the
// protocol.
type State uint8

const (
	// StateSent: the request may have been sent.
	StateSent State = iota
	// StateDone: the target's complete response arrived.
	StateDone
	// StateUnknown: the request may or may not have run.
	StateUnknown
	// StateNotRun is reserved in the protocol. It is never sent, since a
	// delayed message with it could delete the record of a later attempt that
	// ran.
	StateNotRun
)

// precedence orders states by certainty. Merging records keeps the state with
// the higher precedence, so the order in which copies arrive doesn't matter.
func (s State) precedence() int {
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

// Record describes one request that may have run. A record without an ID is a
// completeness marker: the sender's records of the range have no gap.
type Record struct {
	ID     core.RequestID
	Range  core.RangeID
	Digest uint64
	State  State
	// Flow and Attempt are those of the request when it was recorded. Flow is 0
	// if records of several flows were merged.
	Flow    uint64
	Attempt uint32
	// Response is nil unless the request is done and its response is kept.
	Response *Response
	// Age is how long ago the request was first recorded.
	Age time.Duration
}

// Key identifies a recorded request within a deployment.
type Key struct {
	Service core.Service
	ID      core.RequestID
}

// Key returns the record's key in a store.
func (r Record) Key() Key { return Key{Service: r.Range.Service, ID: r.ID} }

// ProvenNotRun reports whether a request is a later attempt of the recorded
// flow. An entry VM makes a later attempt only with proof that the recorded one
// was not run.
func (r Record) ProvenNotRun(later core.Request) bool {
	return r.State == StateSent && r.Flow != 0 && r.Flow == later.Flow && r.Attempt < later.Attempt
}

// RangeMatcher returns a function that reports whether a record of a range may
// belong to one of the requested ranges. A hot key was part of a numbered range
// before and may be again, and not every VM knows which one, so hot and numbered
// ranges of a service match each other.
func RangeMatcher(requested []core.RangeID) func(core.RangeID) bool {
	type kind struct {
		service core.Service
		hot     bool
	}
	exact := make(map[core.RangeID]struct{}, len(requested))
	related := make(map[kind]struct{})
	for _, id := range requested {
		exact[id] = struct{}{}
		related[kind{service: id.Service, hot: id.HotKey == 0}] = struct{}{}
	}
	return func(recorded core.RangeID) bool {
		if _, ok := exact[recorded]; ok {
			return true
		}
		_, ok := related[kind{service: recorded.Service, hot: recorded.HotKey != 0}]
		return ok
	}
}

// Batch is a part of a front's records that is stored at a witness in one
// message.
type Batch struct {
	Front   core.VM
	Target  core.Target
	Token   core.Token
	Records []Record
	// Reset is set on the first message of a full copy, Complete on its last
	// one and on all later ones.
	Reset    bool
	Complete bool
	// RampLimit is the target's cold-start limit, Incarnation the run of the
	// target that it applies to.
	RampLimit   int
	Incarnation uint64
}

// RememberReply answers a Batch.
type RememberReply struct {
	Stored bool
	// Complete is false if the witness has no full copy of the front's records.
	Complete bool
}

// RecallRequest requests the records of a target's ranges.
type RecallRequest struct {
	Target core.Target
	Ranges []core.RangeID
	// Since is the lowest token with which records count as complete.
	Since core.Token
}

// Gap describes records that are complete only from some time on.
type Gap struct {
	// Age is how long ago the gap ended.
	Age time.Duration
	// Remaining is how long requests from before the gap's end may still be
	// repeated.
	Remaining time.Duration
}

// RecallReply answers a RecallRequest.
type RecallReply struct {
	// Complete is set if every request of the ranges that may have run is in
	// Records or older than the retention period.
	Complete bool
	// Gap is set by a front whose records of the one requested range are
	// complete except for requests from before the gap's end.
	Gap         *Gap
	Records     []Record
	RampLimit   int
	Incarnation uint64
}

// Merge returns the union of a VM's records as a front, m, and as a witness,
// other. The front's cold-start limit is the newer one.
func (m RecallReply) Merge(other RecallReply) RecallReply {
	m.Complete = m.Complete || other.Complete
	m.Records = append(m.Records, other.Records...)
	if m.RampLimit == 0 {
		m.RampLimit, m.Incarnation = other.RampLimit, other.Incarnation
	}
	return m
}
