package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

// Invariant is a property that the checker asserts.
type Invariant string

// Invariants.
const (
	SingleOwner      Invariant = "one owner of a key"
	TokensIncrease   Invariant = "rising tokens"
	AtMostOnce       Invariant = "at most one run"
	RejectedNotRun   Invariant = "a refused request does not run"
	OnlySentRequests Invariant = "only requests that callers sent"
	CompleteResponse Invariant = "the whole answer to this request"
	GracefulStop     Invariant = "no request is cut by a planned stop"
	ConfigInForce    Invariant = "the configuration in force"
	ConfigMonotonic  Invariant = "the configuration never goes back"
	ColdLimit        Invariant = "the limit of a cold target"
	Draining         Invariant = "no new work for a leaving target"
	Evacuated        Invariant = "no new work in an evacuated failure domain"
	AnnouncedLeaving Invariant = "no new work for a target that has announced that it leaves"
	AnnouncedPause   Invariant = "few requests in a pause that a target asks for"
	AnnouncedLimit   Invariant = "the rate limit that a target names"
	CrashRetries     Invariant = "few retries of a request that ends targets"
	Recovery         Invariant = "service returns after the last fault"
	ProcessExit      Invariant = "processes end only when told to"
)

// Violation is one violation of an invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Text      string
}

func (v Violation) String() string {
	return fmt.Sprintf("%7.2fs %s: %s", v.At.Seconds(), v.Invariant, v.Text)
}

// request is a request of a caller with its result so far.
type request struct {
	id, method, uri, body string
	idempotent            bool
	vm                    *gateway
	// process is the number of starts of the VM when the request was made. It
	// identifies the VM's process.
	process  int
	sent     time.Time
	runs     int
	rejected bool
	served   bool
	// server is the target process that ran the request last, and runAt when it
	// began.
	server *wire.Server
	runAt  time.Time
}

func (r *request) vmProcess() vmProcess { return vmProcess{vm: r.vm.name, start: r.process} }

// checker checks the invariants as events arrive. Its methods may be called from
// any goroutine.
type checker struct {
	startedAt time.Time
	slack     time.Duration
	history   *history

	mu         sync.Mutex
	violations []Violation
	requests   map[string]*request
	configs    configs
	draining   map[string]time.Time
	evacuated  map[string]time.Time
	cold       map[*wire.Server][]time.Time
	keys       ownership
	announced  announcements
	crashes    map[string]*crashes
	counts     map[string]int
}

// maxViolations limits the size of the report.
const maxViolations = 50

// newChecker returns a checker that multiplies the time bounds by slack, to allow
// for a busy host.
func newChecker(h *history, slack int) *checker {
	return &checker{
		startedAt: time.Now(), slack: time.Duration(slack), history: h,
		requests:  make(map[string]*request),
		draining:  make(map[string]time.Time),
		evacuated: make(map[string]time.Time),
		cold:      make(map[*wire.Server][]time.Time),
		keys:      newOwnership(),
		announced: newAnnouncements(),
		crashes:   make(map[string]*crashes),
		counts:    make(map[string]int),
	}
}

// violate must be called with the lock held.
func (c *checker) violate(inv Invariant, format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{Invariant: inv, At: time.Since(c.startedAt), Text: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) report(inv Invariant, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate(inv, format, args...)
}

// requestSent records a request. It is called before the first byte is sent.
func (c *checker) requestSent(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.sent = time.Now()
	c.requests[r.id] = r
}

// RunStarted implements wire.Observer.
func (c *checker) RunStarted(s *wire.Server, run wire.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["runs"]++
	r := c.requests[run.ID]
	if r == nil || run.Method != r.method || run.URI != r.uri || run.Body != r.body {
		c.violate(OnlySentRequests, "target %s ran %s %s %s with a body of %d bytes", run.Server, run.ID, run.Method, run.URI, len(run.Body))
		return
	}
	r.runs++
	r.server, r.runAt = s, run.At
	c.checkAnnounced(s, r, run.At)
	c.checkCrash(s, r, run.At)
	if !r.idempotent && r.runs > 1 {
		c.violate(AtMostOnce, "target %s runs %s, %d runs in total", run.Server, r.id, r.runs)
	}
	if !r.idempotent && r.rejected {
		c.violate(RejectedNotRun, "target %s runs %s, which was rejected", run.Server, r.id)
	}
	undisturbed := c.history.undisturbed(r.sent, run.At, component(r.vm.name), component(run.Server), storeComponent)
	if at, ok := c.draining[run.Server]; ok && undisturbed && run.At.Sub(at) > drainBound*c.slack {
		c.violate(Draining, "target %s received %s from %s %v after it reported draining", run.Server, r.id, r.vm.name, run.At.Sub(at))
	}
	if at, ok := c.evacuated[s.Zone]; ok && undisturbed && run.At.Sub(at) > evacuateBound*c.slack {
		c.violate(Evacuated, "target %s in %s received %s from %s %v after the evacuation", run.Server, s.Zone, r.id, r.vm.name, run.At.Sub(at))
	}
	c.checkCold(s, run)
	c.checkConfigRun(r, run)
	if run.Key >= 0 {
		for _, text := range c.keys.runStarted(s, run, c.history.grantsMayBeLate(run.At)) {
			c.violate(SingleOwner, "%s", text)
		}
	}
}

const (
	// coldTime and coldRate are the cold start settings of all services. The sum
	// over all VMs may reach coldRate*coldFactor+coldExtra requests in any second.
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
		c.violate(ColdLimit, "target %s received %d requests within one second, the limit is %.0f", run.Server, len(list), limit)
	}
}

// Granted implements wire.Observer.
func (c *checker) Granted(s *wire.Server, from, to int, token int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, text := range c.keys.granted(s, from, to, token, c.history.grantsMayBeLate(time.Now())) {
		c.violate(TokensIncrease, "%s", text)
	}
}

// outcome is the result of a request for the caller. Status 0 means that the
// connection ended without a complete response.
type outcome struct {
	status        int
	stamp, body   string
	trailing      int
	timedOut      bool
	plannedStopAt time.Time
}

func (c *checker) requestFinished(r *request, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.counts[fmt.Sprint("status ", o.status)]++
	switch {
	case o.trailing > 0:
		c.violate(CompleteResponse, "%d bytes follow the response to %s", o.trailing, r.id)
	case o.status >= 200 && o.status < 300:
		if o.stamp == "" || !strings.HasSuffix(o.stamp, "."+r.id) || !strings.HasSuffix(o.body, " to "+r.id) {
			c.violate(CompleteResponse, "%s got status %d, stamp %q and body %q", r.id, o.status, o.stamp, o.body)
		}
		r.served = true
		if s := r.server; s != nil && strings.HasPrefix(o.stamp, s.ID+".") {
			c.passedOn(r, s, r.runAt, now)
		}
	case isRejection(o.status) && o.stamp == "":
		r.rejected = true
		if !r.idempotent && r.runs > 0 {
			c.violate(RejectedNotRun, "%s was rejected with status %d but had run", r.id, o.status)
		}
	case o.status == http.StatusNotFound:
		c.checkNotFound(r, now)
	case o.status == 0 && !o.timedOut && !o.plannedStopAt.IsZero():
		c.checkStop(r, o.plannedStopAt, now)
	}
}

func isRejection(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkStop checks a connection that ended without a response around a planned
// stop of its VM.
func (c *checker) checkStop(r *request, stop, now time.Time) {
	inTime := now.Sub(stop) < gracePeriod+time.Second && stop.Sub(r.sent) > -3*time.Second
	if !inTime || !c.history.undisturbedExceptStop(component(r.vm.name), stop, r.sent, now) {
		return
	}
	if r.runs > 0 || now.Sub(r.sent) > lossBound*c.slack {
		c.violate(GracefulStop, "%s, sent to %s %v after its stop began, got no response within %v and ran %d times", r.id, r.vm.name, r.sent.Sub(stop), now.Sub(r.sent), r.runs)
	}
}

// summary returns the counts of runs and statuses, and the violations.
func (c *checker) summary() (map[string]int, []Violation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.counts))
	for k, n := range c.counts {
		out[k] = n
	}
	return out, append([]Violation(nil), c.violations...)
}
