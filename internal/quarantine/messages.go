package quarantine

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/roster"
)

// Process identifies a process of a target.
type Process struct {
	Target core.Target
	// StartedAt is when the process started, in Unix milliseconds.
	StartedAt int64
}

// Evidence is what is known of a suspected request.
type Evidence struct {
	Request Fingerprint
	// Ended are the processes that ended while they had the request, and Excused
	// those of them after which a target has responded to it.
	Ended, Excused []Process
	// Age is the time since the last of them ended.
	Age time.Duration
}

// Message is an input of the duty.
type Message interface{ message() }

// AttemptLost reports that a process closed the connection on which it had a
// request, without a response.
type AttemptLost struct {
	Request Fingerprint
	Process Process
}

// ProcessEnded reports that nothing responds at the address of a target.
type ProcessEnded struct{ Process Process }

// Answered reports that a target responded to a request.
type Answered struct{ Request Fingerprint }

// EvidenceReceived carries evidence of another VM.
type EvidenceReceived struct{ Evidence []Evidence }

// Compare compares this VM's evidence with that of another VM, which has the given
// digest. Reply must be buffered.
type Compare struct {
	Digest   uint64
	Evidence []Evidence
	Reply    chan<- CompareReply
}

// CompareReply holds this VM's evidence if the other one has a different digest.
type CompareReply struct {
	Evidence  []Evidence
	Different bool
}

// MembersChanged carries the VMs of the deployment.
type MembersChanged struct{ View *roster.View }

// Tick advances time.
type Tick struct{}

func (AttemptLost) message()      {}
func (ProcessEnded) message()     {}
func (Answered) message()         {}
func (EvidenceReceived) message() {}
func (Compare) message()          {}
func (MembersChanged) message()   {}
func (Tick) message()             {}

// Output is an action that the duty requests.
type Output interface{ output() }

// ViewUpdated carries a new view.
type ViewUpdated struct{ View *View }

// SendEvidence sends new evidence to the other VMs.
type SendEvidence struct{ Evidence []Evidence }

// SendReply sends the reply to a Compare.
type SendReply struct {
	To    chan<- CompareReply
	Reply CompareReply
}

// Event is a state change to be logged.
type Event struct {
	Text   string
	Fields []any
}

func (ViewUpdated) output()  {}
func (SendEvidence) output() {}
func (SendReply) output()    {}
func (Event) output()        {}
