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

func (c *cluster) runLogPath(id string) string { return filepath.Join(c.dir, "runs", id) }

// exitRecord is the line that is appended to a run log after the target's process
// has exited.
type exitRecord struct {
	ExitedAt int64 `json:"died_at"`
}

func (c *cluster) recordExit(p *process) error {
	line, err := json.Marshal(exitRecord{ExitedAt: time.Now().UnixNano()})
	if err != nil {
		return err
	}
	f, err := os.OpenFile(c.runLogPath(p.id), os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.Write(append(line, '\n'))
	return err
}

// readRuns reads a target's run log. A run whose end was not logged counts as
// ended at its deadline, or when the process exited, whichever came first.
func (c *cluster) readRuns(id string) ([]target.Run, error) {
	data, err := os.ReadFile(c.runLogPath(id))
	if err != nil {
		return nil, err
	}
	type key struct {
		incarnation uint64
		request     core.RequestID
		attempt     uint32
		startedAt   int64
	}
	var runs []target.Run
	unfinished := make(map[key]int)
	for line := range bytes.Lines(data) {
		var r struct {
			target.Run
			exitRecord
		}
		if !bytes.HasSuffix(line, []byte("\n")) {
			break
		}
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, fmt.Errorf("run log of %s: %w", id, err)
		}
		k := key{r.Incarnation, r.Request, r.Attempt, r.BeganAt}
		i, started := unfinished[k]
		switch {
		case r.ExitedAt != 0:
			for _, i := range unfinished {
				runs[i].EndedAt, runs[i].Cancelled = min(runs[i].DeadlineAt, r.ExitedAt), true
			}
			clear(unfinished)
		case r.EndedAt != 0 && started:
			runs[i] = r.Run
			delete(unfinished, k)
		default:
			unfinished[k] = len(runs)
			runs = append(runs, r.Run)
		}
	}
	for _, i := range unfinished {
		runs[i].EndedAt = runs[i].DeadlineAt
	}
	return runs, nil
}

func (c *cluster) readAllRuns() ([]target.Run, error) {
	var all []target.Run
	for _, t := range c.processesOfKind(kindTarget) {
		runs, err := c.readRuns(t.id)
		if err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}

// check returns an error for the first violation found in the output of the
// processes and in all runs and results so far.
func (c *cluster) check() (string, error) {
	for _, p := range c.processes {
		if err := p.checkOutput(); err != nil {
			return "", err
		}
	}
	c.mu.Lock()
	results := slices.Clone(c.results)
	c.mu.Unlock()
	runs, err := c.readAllRuns()
	if err != nil {
		return "", err
	}
	if err := checkSingleOwner(runs); err != nil {
		return "", err
	}
	if err := checkResults(runs, results); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d runs agree with %d results", len(runs), len(results)), nil
}

// checkSingleOwner guards against two targets that run requests of one range at
// overlapping times. Targets that check neither grants nor deadlines don't enforce
// fencing tokens, so their runs are ignored.
func checkSingleOwner(runs []target.Run) error {
	byRange := make(map[core.RangeID][]target.Run)
	for _, r := range runs {
		if r.Range != (core.RangeID{}) && !r.Unchecked {
			byRange[r.Range] = append(byRange[r.Range], r)
		}
	}
	for id, rangeRuns := range byRange {
		slices.SortFunc(rangeRuns, func(a, b target.Run) int { return cmp.Compare(a.BeganAt, b.BeganAt) })
		latest := rangeRuns[0]
		for _, r := range rangeRuns[1:] {
			if r.Target != latest.Target && r.BeganAt < latest.EndedAt {
				return fmt.Errorf("range %s has runs of two targets at overlapping times:\n%+v\n%+v", id, latest, r)
			}
			if r.EndedAt > latest.EndedAt || r.Target != latest.Target {
				latest = r
			}
		}
	}
	return nil
}

// checkResults guards against a non-idempotent request that ran twice, a result
// that contradicts the runs, and a response that belongs to another request.
func checkResults(runs []target.Run, results []result) error {
	runsByID := make(map[core.RequestID][]target.Run)
	for _, r := range runs {
		runsByID[r.Request] = append(runsByID[r.Request], r)
	}
	resultsByID := make(map[core.RequestID][]result)
	for _, got := range results {
		if got.violation != "" {
			return fmt.Errorf("request %s via %s: %s", got.request.id, got.vm, got.violation)
		}
		resultsByID[got.request.id] = append(resultsByID[got.request.id], got)
	}
	for id, sameID := range resultsByID {
		if err := checkRequest(runsByID[id], sameID); err != nil {
			return fmt.Errorf("request %s: %w:\nruns %+v\nresults %+v", id, err, runsByID[id], sameID)
		}
	}
	return nil
}

// checkRequest checks all results of one request id against its runs.
func checkRequest(runs []target.Run, results []result) error {
	completed := slices.DeleteFunc(slices.Clone(runs), func(r target.Run) bool { return r.Cancelled || r.Ended == 0 })
	answered, notRun := false, true
	for _, got := range results {
		answered = answered || got.outcome == outcomeAnswered
		notRun = notRun && core.Outcome(got.outcome).NotRun()
	}
	switch {
	case !results[0].request.idempotent() && len(runs) > 1:
		return fmt.Errorf("non-idempotent request was started %d times", len(runs))
	case answered && len(completed) == 0:
		return fmt.Errorf("request was answered, but no run completed")
	case notRun && len(runs) > 0:
		return fmt.Errorf("request was reported as not run, but was started %d times", len(runs))
	}
	return nil
}

// waitIdle waits until the targets have started no run for a second.
func (c *cluster) waitIdle(ids []string) (string, error) {
	calledAt := time.Now()
	var lastRunAt time.Time
	err := eventually("quiet", func() error {
		for _, id := range ids {
			runs, err := c.readRuns(id)
			if err != nil {
				return permanent(err)
			}
			for _, r := range runs {
				if startedAt := time.Unix(0, r.BeganAt); startedAt.After(lastRunAt) {
					lastRunAt = startedAt
				}
			}
		}
		if idleFor := time.Since(lastRunAt); idleFor < time.Second || time.Since(calledAt) < time.Second {
			return fmt.Errorf("last run started %v ago", idleFor)
		}
		return nil
	})
	return fmt.Sprintf("last run started %v after the call", lastRunAt.Sub(calledAt).Round(time.Millisecond)), err
}
