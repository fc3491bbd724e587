package platformlog

import (
	"context"
	"time"
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
		if !sleep(ctx, submitPause) {
			return TimeOver{}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch a := a.(type) {
	case AppendAction:
		offset, err := log.Append(ctx, a.Data)
		return AppendResult{Offset: offset, Err: err}
	case ReadAction:
		page, err := log.Read(ctx, a.From, a.Limit, 0)
		return ReadResult{From: a.From, Page: page, Err: err}
	}
	return TimeOver{}
}

// sleep waits and reports whether the context is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// History reads every record that the log still holds and hands each event to
// visit, in order. It returns the state at the log's end.
func History(ctx context.Context, log Log, visit func(Event)) (Folded, error) {
	var replay Replay
	for {
		from := replay.From()
		page, err := log.Read(ctx, from, readLimit, 0)
		if err != nil {
			return replay.Folded(), err
		}
		events, continues := replay.Page(from, page)
		for _, e := range events {
			visit(e)
		}
		if len(page.Entries) == readLimit || (!continues && !replay.InGap()) {
			continue
		}
		if !continues {
			return replay.Folded(), ErrNoState
		}
		return replay.Folded(), nil
	}
}
