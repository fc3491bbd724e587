package console

import (
	"context"
	"fmt"
	"time"

	"celeryhook.example/celeryhook/internal/platformlog"
)

// Version is a policy document and its version; the zero value stands for no
// policy.
type Version struct {
	Offset   uint64
	Document string
}

// Submission is a document to be put in force. A submission that is repeated
// with its id is recognised by the log.
type Submission struct {
	ID       string
	Author   string
	Base     uint64
	Document string
}

// Fate says what became of a submission.
type Fate string

const (
	// FateAccepted: the document is or was in force.
	FateAccepted Fate = "accepted"
	// FateRaced: another version came into force first.
	FateRaced Fate = "raced"
	// FateRejected: the document is at fault.
	FateRejected Fate = "rejected"
	// FateUnavailable: the platform couldn't be reached, nothing was appended.
	FateUnavailable Fate = "unavailable"
	// FateUnknown: it may yet come into force.
	FateUnknown Fate = "unknown"
)

// Result is the fate of a submission.
type Result struct {
	Fate Fate
	// Version is the version in force, if it could be read.
	Version Version
	// Offset is the version that an accepted submission has got.
	Offset uint64
	Reason string
}

// Policies is what the console needs of the log.
type Policies interface {
	// InForce returns the version in force.
	InForce(ctx context.Context) (Version, error)
	// Submit appends a document and reads the log back.
	Submit(ctx context.Context, s Submission) Result
	// Diff shows what changes from one document to another.
	Diff(from, to string) []Line
}

// LogPolicies implements Policies on the platform's log.
type LogPolicies struct{ log platformlog.Log }

// NewLogPolicies returns the policies of a log.
func NewLogPolicies(log platformlog.Log) *LogPolicies { return &LogPolicies{log: log} }

// InForce implements Policies.
func (p *LogPolicies) InForce(ctx context.Context) (Version, error) {
	folded, err := platformlog.ReadHistory(ctx, p.log, func(platformlog.Event) {})
	if err != nil {
		return Version{}, fmt.Errorf("console: read the log: %w", err)
	}
	return Version{Offset: folded.PolicyVersion, Document: folded.Document}, nil
}

var fates = map[platformlog.OutcomeKind]Fate{
	platformlog.OutcomeAccepted:    FateAccepted,
	platformlog.OutcomeInvalid:     FateRejected,
	platformlog.OutcomeConflict:    FateRaced,
	platformlog.OutcomeUnavailable: FateUnavailable,
	platformlog.OutcomeUnknown:     FateUnknown,
}

// readBackTime bounds the read of the version in force after a submission.
const readBackTime = 2 * time.Second

// Submit implements Policies.
func (p *LogPolicies) Submit(ctx context.Context, s Submission) Result {
	record := platformlog.Record{Kind: platformlog.KindPolicy, ID: s.ID, Author: s.Author, Document: s.Document}
	fate := platformlog.Submit(ctx, p.log, platformlog.NewSubmission(record, &s.Base, nil))
	r := Result{Fate: FateUnknown, Offset: fate.Version}
	if known, ok := fates[fate.Kind]; ok {
		r.Fate = known
	}
	if fate.Err != nil {
		r.Reason = fate.Err.Error()
	}
	if r.Fate == FateAccepted || r.Fate == FateRaced {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTime)
		defer cancel()
		// Without the version in force, the fate is still worth telling.
		r.Version, _ = p.InForce(ctx)
	}
	return r
}

// Diff implements Policies.
func (p *LogPolicies) Diff(from, to string) []Line { return diffLines(from, to) }
