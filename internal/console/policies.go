package console

import (
	"context"
	"errors"
	"fmt"
	"time"

	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
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

const (
	// readLimit is how many entries one read of the log asks for.
	readLimit = 256
	// submitAttempts bounds the appends of one submission.
	submitAttempts = 3
	submitPause    = 200 * time.Millisecond
)

// InForce implements Policies.
func (p *LogPolicies) InForce(ctx context.Context) (Version, error) {
	folded, _, err := p.replay(ctx, "")
	if err != nil {
		return Version{}, err
	}
	return Version{Offset: folded.PolicyVersion, Document: folded.Document}, nil
}

// found is what the replay says of the record looked for.
type found struct {
	offset uint64
	err    error
}

// replay folds the log up to its end and looks for the first record with an id.
func (p *LogPolicies) replay(ctx context.Context, id string) (platformlog.Folded, *found, error) {
	var folded platformlog.Folded
	var hit *found
	from := uint64(1)
	for {
		page, err := p.log.Read(ctx, from, readLimit, 0)
		if err != nil {
			return folded, nil, fmt.Errorf("console: read the log: %w", err)
		}
		if len(page.Entries) == 0 {
			return folded, hit, nil
		}
		for _, e := range page.Entries {
			from = e.Offset + 1
			record, err := platformlog.DecodeRecord(e.Data)
			if err != nil {
				folded = folded.Skip(e.Offset)
				continue
			}
			folded, err = folded.Apply(e.Offset, record)
			if hit == nil && id != "" && record.ID == id {
				hit = &found{offset: e.Offset, err: err}
			}
		}
	}
}

// Submit implements Policies.
func (p *LogPolicies) Submit(ctx context.Context, s Submission) Result {
	if _, err := policy.Parse([]byte(s.Document)); err != nil {
		return Result{Fate: FateRejected, Reason: err.Error()}
	}
	record := platformlog.Record{Kind: platformlog.KindPolicy, ID: s.ID, Author: s.Author, Base: s.Base, Document: s.Document}
	data, err := record.Encode()
	if err != nil {
		return Result{Fate: FateRejected, Reason: err.Error()}
	}
	result := Result{Fate: FateUnknown}
	for range submitAttempts {
		_, appendErr := p.log.Append(ctx, data)
		if errors.Is(appendErr, platformlog.ErrRefused) {
			return Result{Fate: FateRejected, Reason: appendErr.Error()}
		}
		folded, hit, readErr := p.replay(ctx, s.ID)
		if readErr == nil && hit != nil {
			return resultOf(folded, *hit)
		}
		result.Reason = reasonOf(appendErr, readErr)
		select {
		case <-ctx.Done():
			return result
		case <-time.After(submitPause):
		}
	}
	return result
}

func reasonOf(errs ...error) string {
	if err := errors.Join(errs...); err != nil {
		return err.Error()
	}
	return "the record isn't in the log"
}

func resultOf(folded platformlog.Folded, hit found) Result {
	r := Result{Version: Version{Offset: folded.PolicyVersion, Document: folded.Document}, Offset: hit.offset}
	switch {
	case hit.err == nil:
		r.Fate = FateAccepted
	case errors.Is(hit.err, platformlog.ErrStale):
		r.Fate, r.Reason = FateRaced, hit.err.Error()
	default:
		r.Fate, r.Reason = FateRejected, hit.err.Error()
	}
	return r
}

// Diff implements Policies.
func (p *LogPolicies) Diff(from, to string) []Line { return diffLines(from, to) }
