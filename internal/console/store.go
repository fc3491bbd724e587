package console

import (
	"context"
	"fmt"
	"time"

	"celeryhook.example/celeryhook/internal/platformlog"
)

// Version is a policy document and its version number. The zero value means
// that there is no policy.
type Version struct {
	Offset   uint64
	Document string
}

// Submission is a document to be put in force. A submission may be retried
// with the same id: the document takes effect at most once.
type Submission struct {
	ID       string
	Author   string
	Base     uint64
	Document string
}

// Outcome is the outcome of a submission.
type Outcome string

const (
	// OutcomeAccepted means that the document is or was in force.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict means that another version came into force first.
	OutcomeConflict Outcome = "raced"
	// OutcomeRejected means that the document is invalid.
	OutcomeRejected Outcome = "rejected"
	// OutcomeUnavailable means that the platform couldn't be reached and nothing
	// was appended.
	OutcomeUnavailable Outcome = "unavailable"
	// OutcomeUnknown means that the document may still come into force.
	OutcomeUnknown Outcome = "unknown"
)

// Result is the result of a submission.
type Result struct {
	// Fate keeps the name that the templates use.
	Fate Outcome
	// Version is the version in force, if it could be read.
	Version Version
	// Offset is the version number of an accepted submission.
	Offset uint64
	Reason string
}

// PolicyStore reads and submits policies.
type PolicyStore interface {
	// InForce returns the version in force.
	InForce(ctx context.Context) (Version, error)
	// Submit appends a document to the log and reads the log back to determine
	// the result.
	Submit(ctx context.Context, s Submission) Result
	// Diff returns a line diff of two documents.
	Diff(from, to string) []Line
}

// LogPolicyStore implements PolicyStore with the platform's log.
type LogPolicyStore struct{ log platformlog.Log }

// NewLogPolicyStore returns the policy store of a log.
func NewLogPolicyStore(log platformlog.Log) *LogPolicyStore { return &LogPolicyStore{log: log} }

// InForce implements PolicyStore.
func (p *LogPolicyStore) InForce(ctx context.Context) (Version, error) {
	state, err := platformlog.ReadHistory(ctx, p.log, func(platformlog.Event) {})
	if err != nil {
		return Version{}, fmt.Errorf("console: read the log: %w", err)
	}
	return Version{Offset: state.PolicyVersion, Document: state.Document}, nil
}

var outcomes = map[platformlog.OutcomeKind]Outcome{
	platformlog.OutcomeAccepted:    OutcomeAccepted,
	platformlog.OutcomeInvalid:     OutcomeRejected,
	platformlog.OutcomeConflict:    OutcomeConflict,
	platformlog.OutcomeUnavailable: OutcomeUnavailable,
	platformlog.OutcomeUnknown:     OutcomeUnknown,
}

// readBackTimeout bounds the read of the version in force after a submission.
const readBackTimeout = 2 * time.Second

// Submit implements PolicyStore.
func (p *LogPolicyStore) Submit(ctx context.Context, s Submission) Result {
	record := platformlog.Record{Kind: platformlog.KindPolicy, ID: s.ID, Author: s.Author, Document: s.Document}
	outcome := platformlog.Submit(ctx, p.log, platformlog.NewSubmission(record, &s.Base, nil))
	r := Result{Fate: OutcomeUnknown, Offset: outcome.Version}
	if known, ok := outcomes[outcome.Kind]; ok {
		r.Fate = known
	}
	if outcome.Err != nil {
		r.Reason = outcome.Err.Error()
	}
	if r.Fate == OutcomeAccepted || r.Fate == OutcomeConflict {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
		defer cancel()
		// The result is valid even if the version in force can't be read.
		r.Version, _ = p.InForce(ctx)
	}
	return r
}

// Diff implements PolicyStore.
func (p *LogPolicyStore) Diff(from, to string) []Line { return diffLines(from, to) }
