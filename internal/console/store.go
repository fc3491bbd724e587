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

// Fate is the outcome of a submission.
type Fate string

const (
	// FateAccepted means that the document is or was in force.
	FateAccepted Fate = "accepted"
	// FateRaced means that another version came into force first.
	FateRaced Fate = "raced"
	// FateRejected means that the document is invalid.
	FateRejected Fate = "rejected"
	// FateUnavailable means that the platform couldn't be reached and nothing
	// was appended.
	FateUnavailable Fate = "unavailable"
	// FateUnknown means that the document may still come into force.
	FateUnknown Fate = "unknown"
)

// Result is the result of a submission.
type Result struct {
	Fate Fate
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

// readBackTimeout bounds the read of the version in force after a submission.
const readBackTimeout = 2 * time.Second

// Submit implements PolicyStore.
func (p *LogPolicyStore) Submit(ctx context.Context, s Submission) Result {
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
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
		defer cancel()
		// The result is valid also if the version in force can't be read.
		r.Version, _ = p.InForce(ctx)
	}
	return r
}

// Diff implements PolicyStore.
func (p *LogPolicyStore) Diff(from, to string) []Line { return diffLines(from, to) }
