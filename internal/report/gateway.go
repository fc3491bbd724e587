package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/ownership"
)

// Key identifies a key of a service.
type Key struct {
	Service string
	Number  uint16
}

// logLine holds the fields of a gateway VM's log line that the page shows. The
// JSON object may be preceded by a prefix that another program added.
type logLine struct {
	Time    time.Time `json:"ts"`
	Message string    `json:"msg"`
	Service string    `json:"service"`
	Status  int       `json:"status"`
	TookMS  float64   `json:"took_ms"`
	From    int       `json:"from_unit"`
	To      int       `json:"to_unit"`
	Owner   string    `json:"owner"`
	Token   int64     `json:"fence"`
}

const (
	maxLineBytes = 1 << 20
	// timeBuckets is the number of points of a plot over time.
	timeBuckets = 120
)

// FromLogs returns a page with the requests in the logs of gateway VMs. If key
// is not nil, the page also lists its owners.
func FromLogs(key *Key, logs ...io.Reader) (*Page, error) {
	var requests, moves []logLine
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			i := bytes.IndexByte(s.Bytes(), '{')
			if i < 0 {
				continue
			}
			var l logLine
			if json.Unmarshal(s.Bytes()[i:], &l) != nil || l.Time.IsZero() {
				continue // a line of another program, or a truncated one
			}
			switch l.Message {
			case "request":
				requests = append(requests, l)
			case "keys moved":
				moves = append(moves, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, fmt.Errorf("report: log: %w", err)
		}
	}
	if len(requests) == 0 {
		return nil, errors.New("report: the logs have no requests")
	}
	byTime := func(a, b logLine) int { return a.Time.Compare(b.Time) }
	slices.SortFunc(requests, byTime)
	slices.SortFunc(moves, byTime)
	start, end := requests[0].Time, requests[len(requests)-1].Time
	p := &Page{Title: "Gateway VMs", Notes: []string{
		fmt.Sprintf("%d requests from %s to %s, %d moves of keys", len(requests), start.Format(time.RFC3339), end.Format(time.RFC3339), len(moves)),
	}}
	width := max(end.Sub(start)/timeBuckets+1, time.Millisecond)
	p.Charts = append(p.Charts, latencyChart(requests, start, width), outcomeChart(requests, start, width))
	if key != nil {
		p.Tables = append(p.Tables, ownersTable(*key, moves, start))
	}
	return p, nil
}

func latencyChart(requests []logLine, start time.Time, width time.Duration) Chart {
	c := Chart{Title: "Latency of answered requests over time, ms", Series: []string{"p50", "p99"}, Line: true}
	c.Bars = overTime(requests, start, width, func(group []logLine) []float64 {
		var latenciesMS []float64
		for _, l := range group {
			if l.Status == http.StatusOK {
				latenciesMS = append(latenciesMS, l.TookMS)
			}
		}
		n := len(latenciesMS)
		if n == 0 {
			return []float64{0, 0}
		}
		slices.Sort(latenciesMS)
		return []float64{latenciesMS[n/2], latenciesMS[n*99/100]}
	})
	return c
}

func outcomeChart(requests []logLine, start time.Time, width time.Duration) Chart {
	c := Chart{Title: "Requests a second over time", Series: []string{"answered", "refused", "other"}, Line: true}
	c.Bars = overTime(requests, start, width, func(group []logLine) []float64 {
		out := make([]float64, len(c.Series))
		for _, l := range group {
			i := 2
			switch l.Status {
			case http.StatusOK:
				i = 0
			case http.StatusServiceUnavailable:
				i = 1
			}
			out[i] += 1 / width.Seconds()
		}
		return out
	})
	return c
}

// overTime groups the requests into intervals of the given width and returns
// the values of each group.
func overTime(requests []logLine, start time.Time, width time.Duration, values func([]logLine) []float64) []Bar {
	groups := make([][]logLine, timeBuckets)
	for _, l := range requests {
		i := min(int(l.Time.Sub(start)/width), timeBuckets-1)
		groups[i] = append(groups[i], l)
	}
	var out []Bar
	for i, group := range groups {
		at := (time.Duration(i) * width).Round(10 * time.Millisecond)
		out = append(out, Bar{Label: at.String(), Values: values(group)})
	}
	return out
}

func ownersTable(k Key, moves []logLine, start time.Time) Table {
	t := Table{Title: fmt.Sprintf("Owners of key %d of %s", k.Number, k.Service), Head: []string{"after", "owner", "token"}}
	unit := ownership.Unit(k.Number)
	for _, l := range moves {
		if l.Service == k.Service && l.From <= unit && unit <= l.To {
			t.Rows = append(t.Rows, []string{l.Time.Sub(start).Round(time.Millisecond).String(), l.Owner, fmt.Sprint(l.Token)})
		}
	}
	return t
}
