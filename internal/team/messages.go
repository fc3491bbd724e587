package team

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/roster"
)

// Message is an input of a Holder or an Account.
type Message interface{ message() }

// Take requests a permit for one request. Reply must be buffered.
type Take struct {
	Team *Team
	// Version is the version of the configuration that Team is from.
	Version int64
	// Until is how long the request waits for a permit.
	Until core.Instant
	Reply chan<- Verdict
}

// GiveBack returns a permit under which nothing can have run.
type GiveBack struct{ Permit Permit }

// Permit allows one request of a team to be sent.
type Permit struct {
	team  string
	issue Issue
	// Expires is when the permit is no longer valid, or 0 if it doesn't expire.
	Expires core.Instant
	kind    permitKind
}

// Limited reports whether the permit is part of a quota.
func (p Permit) Limited() bool { return p.kind != unlimited }

type permitKind uint8

const (
	unlimited permitKind = iota
	issuedPermit
	localPermit
)

// Issue identifies permits that an account issued at about the same time.
type Issue struct {
	// Term is the offset of the ledger from which the account was the leader.
	Term int64
	// At is a time by the account's clock.
	At core.Instant
}

// Outcome says whether a request may be sent.
type Outcome uint8

const (
	// Admitted means that the request has a permit.
	Admitted Outcome = iota
	// Exceeded means that the quota is exceeded.
	Exceeded
	// Unavailable means that the account can't be reached.
	Unavailable
)

// Verdict is the reply to a Take.
type Verdict struct {
	Outcome Outcome
	// Permit is set if the request is admitted, RetryAfter if it isn't.
	Permit     Permit
	RetryAfter time.Duration
}

// Ask asks the account for permits and returns others. It is an output of the Holder;
// AskDone must follow, within about the lifetime of a permit. It is also an input
// of the Account; Reply must be buffered.
type Ask struct {
	// Seq is that of the AskDone.
	Seq   uint64
	Items []AskItem
	// VMs is the number of VMs of the deployment that the holder knows, with those that
	// are no longer listed since a short time.
	VMs   int
	Reply chan<- AskReply
}

// AskItem is the part of an Ask for one team.
type AskItem struct {
	Team string
	// Version, Rate and Burst are the quota that the holder knows.
	Version     int64
	Rate, Burst float64
	// Needed is the number of requests that wait, and Extra the number that is
	// expected within the lifetime of a permit.
	Needed, Extra int
	Returns       []Return
}

// Return gives unused permits of one bin back.
type Return struct {
	Issue Issue
	Count int
}

// AskReply is the reply to an Ask, with an item for each of its items.
type AskReply struct {
	// Closed is set if the VM issues no permits at present.
	Closed bool
	Items  []Issued
}

// Issued holds the permits for one team.
type Issued struct {
	Count int
	Issue Issue
	// RetryAfter is set if Count is less than was needed.
	RetryAfter time.Duration
}

// AskDone ends an Ask.
type AskDone struct {
	Seq uint64
	// Failed is set if no reply arrived.
	Failed bool
	Reply  AskReply
}

// ConfigRead reports when the configuration was known to be the newest.
type ConfigRead struct{ AsOf core.Instant }

// ConfigChanged carries the teams of a new configuration.
type ConfigChanged struct {
	Version int64
	Teams   []Team
}

// MembersChanged carries the VMs of the deployment.
type MembersChanged struct{ View *roster.View }

// MembersRead reports when the list of VMs was the newest.
type MembersRead struct{ AsOf core.Instant }

// LedgerRead carries what the ledger says of the leader.
type LedgerRead struct {
	// Leading is set if the ledger is in force and this process leads.
	Leading bool
	// NoLeader is set if the ledger has never had a leader.
	NoLeader bool
	// Next is the end of the ledger, and Era differs after each loss of records.
	Next, Era int64
	AsOf      core.Instant
}

// QuorumResult is the result of a CheckQuorum.
type QuorumResult struct {
	Started core.Instant
	// Agreeing is the number of other VMs that have no newer record, and Newer that
	// of those that have one.
	Agreeing, Newer int
	Next            int64
}

// Tick advances time.
type Tick struct{}

func (Take) message()           {}
func (GiveBack) message()       {}
func (Ask) message()            {}
func (AskDone) message()        {}
func (ConfigRead) message()     {}
func (ConfigChanged) message()  {}
func (MembersChanged) message() {}
func (MembersRead) message()    {}
func (LedgerRead) message()     {}
func (QuorumResult) message()   {}
func (Tick) message()           {}

// Output is an action that a Holder or an Account requests.
type Output interface{ output() }

// TakeReply sends a verdict.
type TakeReply struct {
	To      chan<- Verdict
	Verdict Verdict
}

// SendReply sends the reply to an Ask.
type SendReply struct {
	To    chan<- AskReply
	Reply AskReply
}

// AccountReached reports the first reply of an open account.
type AccountReached struct{}

// CheckQuorum asks the members for records of the ledger from Next on.
type CheckQuorum struct {
	Next    int64
	Members []roster.Member
}

// Event is a state change to be logged.
type Event struct {
	Text   string
	Fields []any
}

func (TakeReply) output()      {}
func (AccountReached) output() {}
func (Ask) output()            {}
func (SendReply) output()      {}
func (CheckQuorum) output()    {}
func (Event) output()          {}
