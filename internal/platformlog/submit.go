package platformlog

import (
	"context"
	"time"

	"celeryhook.example/celeryhook/internal/duty"
)

const (
	// callTimeout limits each call of a submission, so that time for another
	// attempt remains if a response is lost.
	callTimeout = 2 * time.Second
	// submitRetryDelay is the delay before the retry of a failed call.
	submitRetryDelay = 200 * time.Millisecond
)

// Submit runs a submission until its outcome is known or the context ends.
func Submit(ctx context.Context, log Log, s *Submission) Outcome {
	action := s.Start()
	for {
		if end, ok := action.(DoneAction); ok {
			return end.Outcome
		}
		if ctx.Err() != nil {
			action = s.Step(TimedOut{})
			continue
		}
		action = s.Step(perform(ctx, log, action))
	}
}

func perform(ctx context.Context, log Log, a Action) Result {
	if read, ok := a.(ReadAction); ok && read.Retry {
		if !duty.Sleep(ctx, submitRetryDelay) {
			return TimedOut{}
		}
	}
	switch a := a.(type) {
	case AppendAction:
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		offset, err := log.Append(ctx, a.Data)
		return AppendResult{Offset: offset, Err: err}
	case ReadAction:
		page, err := read(ctx, log, a.From, a.Limit)
		return ReadResult{From: a.From, Limit: a.Limit, Page: page, Err: err}
	}
	return TimedOut{}
}

// ReadHistory reads all records that the log still holds and calls visit for
// each event, in order. It returns the state at the end of the log. Failed reads
// are retried until the context ends.
func ReadHistory(ctx context.Context, log Log, visit func(Event)) (State, error) {
	var replay Replay
	size := maxReadSize
	for {
		from := replay.NextOffset()
		page, err := read(ctx, log, from, int(size))
		size = size.adjust(err != nil)
		if err != nil {
			if !duty.Sleep(ctx, submitRetryDelay) {
				return replay.State(), err
			}
			continue
		}
		events, continues := replay.ApplyPage(from, page)
		for _, e := range events {
			visit(e)
		}
		atEnd := len(page.Entries) == 0
		switch {
		case !atEnd || (!continues && !replay.InGap()):
		case !continues:
			return replay.State(), ErrNoSnapshot
		default:
			return replay.State(), nil
		}
	}
}

func read(ctx context.Context, log Log, from uint64, limit int) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return log.Read(ctx, from, limit, 0)
}
