package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

// Promise is what a violation breaks.
type Promise string

// Promises.
const (
	OneOwner    Promise = "one owner of a key"
	Token       Promise = "rising tokens"
	AtMostOnce  Promise = "at most one run"
	TrueRefusal Promise = "a refused request does not run"
	OwnRequest  Promise = "only requests that callers sent"
	WholeAnswer Promise = "the whole answer to this request"
	PlannedStop Promise = "no request is cut by a planned stop"
	InForce     Promise = "the configuration in force"
	NeverBack   Promise = "the configuration never goes back"
	ColdLimit   Promise = "the limit of a cold target"
	Draining    Promise = "no new work for a leaving target"
	Evacuated   Promise = "no new work in an evacuated failure domain"
	Recovery    Promise = "service returns after the last fault"
	Process     Promise = "processes end only when told to"
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise
	At      time.Duration
	Text    string
}

func (v Violation) String() string {
	return fmt.Sprintf("%7.2fs %s: %s", v.At.Seconds(), v.Promise, v.Text)
}

// request is what a caller sent, and what became of it.
type request struct {
	id, method, uri, body string
	idempotent            bool
	vm                    *gateway
	// life is the VM's process by the count of its starts.
	life    int
	sent    time.Time
	runs    int
	refused bool
	served  bool
}

// checker checks promises as events come in. Its methods may be called from any
// goroutine.
type checker struct {
	began   time.Time
	slack   time.Duration
	history *history

	mu         sync.Mutex
	violations []Violation
	requests   map[string]*request
	configs    configs
	leaving    map[string]time.Time
	evacuated  map[string]time.Time
	cold       map[*wire.Server][]time.Time
	keys       ownership
	counts     map[string]int
}

// maxViolations bounds the report.
const maxViolations = 50

// newChecker returns a checker. On a busy machine the bounds in time are
// multiplied by slack.
func newChecker(h *history, slack int) *checker {
	return &checker{
		began: time.Now(), slack: time.Duration(slack), history: h,
		requests:  make(map[string]*request),
		leaving:   make(map[string]time.Time),
		evacuated: make(map[string]time.Time),
		cold:      make(map[*wire.Server][]time.Time),
		keys:      newOwnership(),
		counts:    make(map[string]int),
	}
}

// violate must be called with the lock held.
func (c *checker) violate(p Promise, format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{Promise: p, At: time.Since(c.began), Text: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) report(p Promise, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate(p, format, args...)
}

// send notes a request before its first byte is sent.
func (c *checker) send(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.sent = time.Now()
	c.requests[r.id] = r
}

// Began implements wire.Observer.
func (c *checker) RunStarted(s *wire.Server, run wire.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["runs"]++
	r := c.requests[run.ID]
	if r == nil || run.Method != r.method || run.URI != r.uri || run.Body != r.body {
		c.violate(OwnRequest, "target %s ran %s %s %s with a body of %d bytes", run.Server, run.ID, run.Method, run.URI, len(run.Body))
		return
	}
	r.runs++
	if !r.idempotent && r.runs > 1 {
		c.violate(AtMostOnce, "target %s runs %s for the %d. time", run.Server, r.id, r.runs)
	}
	if !r.idempotent && r.refused {
		c.violate(TrueRefusal, "target %s runs %s, which was refused", run.Server, r.id)
	}
	calm := c.history.calm(r.sent, run.At, place(r.vm.name), place(run.Server), theStore)
	if at, ok := c.leaving[run.Server]; ok && calm && run.At.Sub(at) > drainBound*c.slack {
		c.violate(Draining, "target %s got %s through %s %v after it said that it leaves", run.Server, r.id, r.vm.name, run.At.Sub(at))
	}
	if at, ok := c.evacuated[s.Zone]; ok && calm && run.At.Sub(at) > evacuateBound*c.slack {
		c.violate(Evacuated, "target %s in %s got %s through %s %v after the evacuation", run.Server, s.Zone, r.id, r.vm.name, run.At.Sub(at))
	}
	c.checkCold(s, run)
	c.checkConfigRun(r, run)
	if run.Key >= 0 {
		for _, text := range c.keys.began(s, run, c.history.lateGrants(run.At)) {
			c.violate(OneOwner, "%s", text)
		}
	}
}

const (
	// coldTime and coldRate are what the soak's configuration says of its
	// services; the sum over all VMs may exceed the rate by coldFactor and
	// coldExtra in any second.
	coldTime   = 3 * time.Second
	coldRate   = 21
	coldFactor = 1.5
	coldExtra  = 5
)

func (c *checker) checkCold(s *wire.Server, run wire.Run) {
	if s.ColdRemaining() == 0 {
		delete(c.cold, s)
		return
	}
	list := append(c.cold[s], run.At)
	for len(list) > 0 && run.At.Sub(list[0]) >= time.Second {
		list = list[1:]
	}
	c.cold[s] = list
	if limit := coldRate*coldFactor + coldExtra; float64(len(list)) > limit {
		c.violate(ColdLimit, "target %s got %d requests in a second, the limit is %.0f", run.Server, len(list), limit)
	}
}

// Granted implements wire.Observer.
func (c *checker) Granted(s *wire.Server, from, to int, fence int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, text := range c.keys.granted(s, from, to, fence, c.history.lateGrants(time.Now())) {
		c.violate(Token, "%s", text)
	}
}

// outcome is what a caller saw. Status 0 stands for a connection that ended
// without a whole answer.
type outcome struct {
	status        int
	stamp, body   string
	stray         int
	timedOut      bool
	stoppedByPlan time.Time
}

func (c *checker) finish(r *request, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.counts[fmt.Sprint("status ", o.status)]++
	switch {
	case o.stray > 0:
		c.violate(WholeAnswer, "%d bytes follow the answer to %s", o.stray, r.id)
	case o.status >= 200 && o.status < 300:
		if o.stamp == "" || !strings.HasSuffix(o.stamp, "."+r.id) || !strings.HasSuffix(o.body, " to "+r.id) {
			c.violate(WholeAnswer, "%s got status %d, stamp %q and body %q", r.id, o.status, o.stamp, o.body)
		}
		r.served = true
	case refusal(o.status) && o.stamp == "":
		r.refused = true
		if !r.idempotent && r.runs > 0 {
			c.violate(TrueRefusal, "%s was refused with %d and had run", r.id, o.status)
		}
	case o.status == http.StatusNotFound:
		c.checkNotFound(r, now)
	case o.status == 0 && !o.timedOut && !o.stoppedByPlan.IsZero():
		c.checkStop(r, o.stoppedByPlan, now)
	}
}

func refusal(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkStop judges a connection that ended without an answer around a planned
// stop of its VM.
func (c *checker) checkStop(r *request, stop, now time.Time) {
	inTime := now.Sub(stop) < grace+time.Second && stop.Sub(r.sent) > -3*time.Second
	if !inTime || !c.history.allCalmBut(place(r.vm.name), stop, r.sent, now) {
		return
	}
	if r.runs > 0 || now.Sub(r.sent) > lossBound*c.slack {
		c.violate(PlannedStop, "%s sent to %s %v after its stop ended unanswered after %v, runs %d", r.id, r.vm.name, r.sent.Sub(stop), now.Sub(r.sent), r.runs)
	}
}

// summary returns counts of what happened.
func (c *checker) summary() (map[string]int, []Violation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.counts))
	for k, n := range c.counts {
		out[k] = n
	}
	return out, append([]Violation(nil), c.violations...)
}
