package scenario

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/standin/target"
)

func (w *world) runFile(id string) string { return filepath.Join(w.dir, "runs", id) }

// death is the line of a run log that says when the target was ended.
type death struct {
	DiedAt int64 `json:"died_at"`
}

func (w *world) noteDeath(p *process) error {
	line, err := json.Marshal(death{DiedAt: time.Now().UnixNano()})
	if err != nil {
		return err
	}
	f, err := os.OpenFile(w.runFile(p.id), os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.Write(append(line, '\n'))
	return err
}

// runsOf reads a target's run log. A run without an end has ended at its
// deadline, or when the target was ended.
func (w *world) runsOf(id string) ([]target.Run, error) {
	data, err := os.ReadFile(w.runFile(id))
	if err != nil {
		return nil, err
	}
	type key struct {
		incarnation uint64
		request     core.RequestID
		attempt     uint32
		began       int64
	}
	var runs []target.Run
	open := make(map[key]int)
	for line := range bytes.Lines(data) {
		var r struct {
			target.Run
			death
		}
		if !bytes.HasSuffix(line, []byte("\n")) {
			break
		}
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, fmt.Errorf("run log of %s: %w", id, err)
		}
		k := key{r.Incarnation, r.Request, r.Attempt, r.BeganAt}
		i, begun := open[k]
		switch {
		case r.DiedAt != 0:
			for _, i := range open {
				runs[i].EndedAt, runs[i].Cancelled = min(runs[i].DeadlineAt, r.DiedAt), true
			}
			clear(open)
		case r.EndedAt != 0 && begun:
			runs[i] = r.Run
			delete(open, k)
		default:
			open[k] = len(runs)
			runs = append(runs, r.Run)
		}
	}
	for _, i := range open {
		runs[i].EndedAt = runs[i].DeadlineAt
	}
	return runs, nil
}

func (w *world) allRuns() ([]target.Run, error) {
	var all []target.Run
	for _, t := range w.of(kindTarget) {
		runs, err := w.runsOf(t.id)
		if err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}

// check returns the first broken promise over all runs and answers so far.
func (w *world) check() (string, error) {
	for _, p := range w.processes {
		if err := p.broken(); err != nil {
			return "", err
		}
	}
	w.mu.Lock()
	answers := slices.Clone(w.answers)
	w.mu.Unlock()
	runs, err := w.allRuns()
	if err != nil {
		return "", err
	}
	if err := checkOwners(runs); err != nil {
		return "", err
	}
	if err := checkAnswers(runs, answers); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d runs agree with %d answers", len(runs), len(answers)), nil
}

// checkOwners guards against two targets that run requests of one range at
// overlapping times. Targets that check nothing have no fence, so their runs
// don't count.
func checkOwners(runs []target.Run) error {
	byRange := make(map[core.RangeID][]target.Run)
	for _, r := range runs {
		if r.Range != (core.RangeID{}) && !r.Unchecked {
			byRange[r.Range] = append(byRange[r.Range], r)
		}
	}
	for id, of := range byRange {
		slices.SortFunc(of, func(a, b target.Run) int { return cmp.Compare(a.BeganAt, b.BeganAt) })
		latest := of[0]
		for _, r := range of[1:] {
			if r.Target != latest.Target && r.BeganAt < latest.EndedAt {
				return fmt.Errorf("range %s has two owners:\n%+v\n%+v", id, latest, r)
			}
			if r.EndedAt > latest.EndedAt || r.Target != latest.Target {
				latest = r
			}
		}
	}
	return nil
}

// checkAnswers guards against a non-idempotent request that ran twice, an
// answer that the runs contradict, and an answer to another request.
func checkAnswers(runs []target.Run, answers []answer) error {
	ran := make(map[core.RequestID][]target.Run)
	for _, r := range runs {
		ran[r.Request] = append(ran[r.Request], r)
	}
	byID := make(map[core.RequestID][]answer)
	for _, a := range answers {
		if a.fault != "" {
			return fmt.Errorf("%s through %s: %s", a.request.id, a.vm, a.fault)
		}
		byID[a.request.id] = append(byID[a.request.id], a)
	}
	for id, of := range byID {
		if err := checkAnswer(ran[id], of); err != nil {
			return fmt.Errorf("request %s: %w:\nruns %+v\nanswers %+v", id, err, ran[id], of)
		}
	}
	return nil
}

// checkAnswer checks all answers to one request id against its runs.
func checkAnswer(runs []target.Run, answers []answer) error {
	whole := slices.DeleteFunc(slices.Clone(runs), func(r target.Run) bool { return r.Cancelled || r.Ended == 0 })
	answered, refused := false, true
	for _, a := range answers {
		answered = answered || a.outcome == outcomeAnswered
		refused = refused && core.Outcome(a.outcome).NotRun()
	}
	switch {
	case !answers[0].request.idempotent() && len(runs) > 1:
		return fmt.Errorf("it began %d times", len(runs))
	case answered && len(whole) == 0:
		return fmt.Errorf("it was answered and never ran to its end")
	case refused && len(runs) > 0:
		return fmt.Errorf("it was said not to have run and began %d times", len(runs))
	}
	return nil
}

// quiet waits until the targets have begun no run for a second.
func (w *world) quiet(ids []string) (string, error) {
	called := time.Now()
	var last time.Time
	err := eventually("quiet", func() error {
		for _, id := range ids {
			runs, err := w.runsOf(id)
			if err != nil {
				return fatal(err)
			}
			for _, r := range runs {
				if began := time.Unix(0, r.BeganAt); began.After(last) {
					last = began
				}
			}
		}
		if pause := time.Since(last); pause < time.Second || time.Since(called) < time.Second {
			return fmt.Errorf("a run began %v ago", pause)
		}
		return nil
	})
	return fmt.Sprintf("the last run began %v after the call", last.Sub(called).Round(time.Millisecond)), err
}
