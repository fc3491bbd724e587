package platformlog

import (
	"context"
	"time"

	"celeryhook.example/celeryhook/internal/duty"
)

const (
	// callTimeout bounds one call of a submission, so that a lost answer leaves
	// time for another attempt.
	callTimeout = 2 * time.Second
	// submitPause is the pause after a failed call.
	submitPause = 200 * time.Millisecond
)

// Submit carries out a submission until its fate is known or the context ends.
func Submit(ctx context.Context, log Log, s *Submission) Fate {
	action := s.Start()
	for {
		if end, ok := action.(EndAction); ok {
			return end.Fate
		}
		if ctx.Err() != nil {
			action = s.Step(TimeOver{})
			continue
		}
		action = s.Step(perform(ctx, log, action))
	}
}

func perform(ctx context.Context, log Log, a Action) Result {
	if read, ok := a.(ReadAction); ok && read.Retry {
		if !duty.Sleep(ctx, submitPause) {
			return TimeOver{}
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
	return TimeOver{}
}

// History reads every record that the log still holds and hands each event to
// visit, in order. It returns the state at the log's end. Failed reads are
// repeated until the context ends.
func History(ctx context.Context, log Log, visit func(Event)) (Folded, error) {
	var replay Replay
	size := largest
	for {
		from := replay.From()
		page, err := read(ctx, log, from, int(size))
		size = size.after(err != nil)
		if err != nil {
			if !duty.Sleep(ctx, submitPause) {
				return replay.Folded(), err
			}
			continue
		}
		events, continues := replay.Page(from, page)
		for _, e := range events {
			visit(e)
		}
		atEnd := len(page.Entries) == 0
		switch {
		case !atEnd || (!continues && !replay.InGap()):
		case !continues:
			return replay.Folded(), ErrNoState
		default:
			return replay.Folded(), nil
		}
	}
}

func read(ctx context.Context, log Log, from uint64, limit int) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return log.Read(ctx, from, limit, 0)
}
