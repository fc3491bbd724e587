package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"celeryhook.example/celeryhook/internal/accept"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/standin/target"
)

const (
	outcomeAnswered = string(core.OutcomeAnswered)
	// The connection to the entry VM failed.
	outcomeConnectionLost = "lost"
)

// request is a caller's request.
type request struct {
	method, path string
	id           core.RequestID
	body         string
}

func (r request) idempotent() bool { return r.method == http.MethodGet }

// result is the outcome of a request, as its caller saw it.
type result struct {
	request request
	vm      string
	outcome string
	detail  string
	// sentAt is counted from the start of the script.
	sentAt time.Duration
	// violation says why the response isn't the complete one of its request.
	violation string
}

// parseRequest reads METHOD:PATH.
func parseRequest(s string) (request, error) {
	method, path, ok := strings.Cut(s, ":")
	if !ok || !strings.HasPrefix(path, "/") {
		return request{}, fmt.Errorf("request %q is not of the form METHOD:/PATH", s)
	}
	return request{method: method, path: path}, nil
}

// instantiate inserts the key into the path, and sets a new id and a body if the
// request has none.
func (c *cluster) instantiate(r request, key string) request {
	r.path = strings.ReplaceAll(r.path, "{k}", key)
	if r.id == "" {
		r.id = newRequestID()
	}
	if r.body == "" && !r.idempotent() {
		r.body = "body of " + string(r.id)
	}
	return r
}

// newRequestID returns a UUIDv7, which carries its time. A front that started
// without records treats other ids as unknown for ten minutes.
func newRequestID() core.RequestID { return core.RequestID(uuid.Must(uuid.NewV7()).String()) }

// sendAndRecord sends a request to a VM and records the result.
func (c *cluster) sendAndRecord(vm *process, r request) result {
	sentAt := time.Since(c.startedAt).Round(time.Millisecond)
	got := c.roundTrip(vm, r)
	got.request, got.vm, got.sentAt = r, vm.id, sentAt
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, got)
	return got
}

func (c *cluster) roundTrip(vm *process, r request) result {
	req, err := http.NewRequest(r.method, "http://"+*vm.callersAddress.Load()+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		return result{outcome: outcomeConnectionLost, detail: err.Error()}
	}
	// Prevents the HTTP client from resending the request by itself.
	req.GetBody = nil
	req.Header.Set(accept.HeaderIdempotencyKey, string(r.id))
	res, err := c.httpClient.Do(req)
	if err != nil {
		return result{outcome: outcomeConnectionLost, detail: err.Error()}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return result{outcome: outcomeConnectionLost, detail: err.Error()}
	}
	return parseResponse(r, res, body)
}

func parseResponse(r request, res *http.Response, body []byte) result {
	if res.Header.Get("Content-Type") == "application/problem+json" {
		var p accept.Problem
		if err := json.Unmarshal(body, &p); err != nil {
			return result{outcome: "other", violation: "invalid problem document: " + err.Error()}
		}
		return result{outcome: strings.TrimPrefix(p.Type, accept.ProblemBase), detail: p.Detail}
	}
	if res.StatusCode != http.StatusOK {
		return result{outcome: "status-" + strconv.Itoa(res.StatusCode), detail: string(body)}
	}
	got := result{outcome: outcomeAnswered}
	digest := target.Digest(r.method, r.path, r.id, []byte(r.body))
	switch {
	case res.Header.Get(target.HeaderDigest) != digest:
		got.violation = "response has the digest of another request"
	case !bytes.Equal(body, target.ResponseBody(r.method, r.path, r.id, []byte(r.body))):
		got.violation = fmt.Sprintf("response body does not belong to the request: %q", body)
	}
	return got
}

// trafficOptions are the arguments of a command that sends requests: NAME=VALUE
// options and requests.
type trafficOptions struct {
	via      []*process
	keyCount int
	duration time.Duration
	rate     int
	requests []request
	id, body string
	want     []string
}

func (c *cluster) parseOptions(args []string) (trafficOptions, error) {
	o := trafficOptions{keyCount: 20, rate: 50, duration: 5 * time.Second}
	for _, arg := range args {
		if err := c.parseOption(&o, arg); err != nil {
			return o, err
		}
	}
	if o.via == nil {
		o.via = c.runningVMs()
	}
	return o, nil
}

func (c *cluster) parseOption(o *trafficOptions, arg string) error {
	name, value, ok := strings.Cut(arg, "=")
	if !ok {
		r, err := parseRequest(arg)
		o.requests = append(o.requests, r)
		return err
	}
	var err error
	switch name {
	case "via":
		o.via, err = c.parseVMs(value)
	case "keys":
		o.keyCount, err = strconv.Atoi(value)
	case "rate":
		o.rate, err = strconv.Atoi(value)
	case "for":
		o.duration, err = time.ParseDuration(value)
	case "id":
		o.id = value
	case "body":
		o.body = value
	case "want":
		o.want = strings.Split(value, ",")
	default:
		err = fmt.Errorf("unknown option %q", name)
	}
	return err
}

// parseVMs parses a list of VM ids; a leading ! selects all running VMs but those.
func (c *cluster) parseVMs(list string) ([]*process, error) {
	list, exclude := strings.CutPrefix(list, "!")
	var named []*process
	for _, id := range strings.Split(list, ",") {
		p, err := c.findProcess(id)
		if err != nil {
			return nil, err
		}
		named = append(named, p)
	}
	if !exclude {
		return named, nil
	}
	return slices.DeleteFunc(c.runningVMs(), func(p *process) bool { return slices.Contains(named, p) }), nil
}

// runningVMs returns the VMs that run and are not suspended.
func (c *cluster) runningVMs() []*process {
	return slices.DeleteFunc(c.processesOfKind(kindVM), func(p *process) bool { return !p.running() || p.suspended })
}

// waitServed waits until every VM answers every request for every key within one
// attempt.
func (c *cluster) waitServed(o trafficOptions) error {
	return eventually("served", func() error {
		var group sync.WaitGroup
		errCh := make(chan error, len(o.via))
		for _, vm := range o.via {
			group.Go(func() { errCh <- c.sendAll(vm, o) })
		}
		group.Wait()
		close(errCh)
		var errs []error
		for err := range errCh {
			errs = append(errs, err)
		}
		return errors.Join(errs...)
	})
}

// sendAll sends every request for every key to a VM and returns an error at the
// first one that is not answered.
func (c *cluster) sendAll(vm *process, o trafficOptions) error {
	for _, r := range o.requests {
		for k := range o.keyCount {
			got := c.sendAndRecord(vm, c.instantiate(r, "k"+strconv.Itoa(k)))
			if got.outcome != outcomeAnswered {
				return fmt.Errorf("%s %s via %s: %s: %s", r.method, got.request.path, vm.id, got.outcome, got.detail)
			}
		}
	}
	return nil
}

// load is background traffic, and the results of its requests by outcome.
type load struct {
	cancel       context.CancelFunc
	done         chan struct{}
	mu           sync.Mutex
	counts       map[string]int
	firstResults map[string]result
}

func (c *cluster) startLoad(o trafficOptions) *load {
	ctx, cancel := context.WithTimeout(context.Background(), o.duration)
	l := &load{cancel: cancel, done: make(chan struct{}), counts: make(map[string]int), firstResults: make(map[string]result)}
	go func() {
		defer close(l.done)
		var group sync.WaitGroup
		defer group.Wait()
		tick := time.NewTicker(time.Second / time.Duration(o.rate))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			vm := o.via[rand.IntN(len(o.via))]
			r := c.instantiate(o.requests[n%len(o.requests)], "k"+strconv.Itoa(rand.IntN(o.keyCount)))
			group.Go(func() { l.record(c.sendAndRecord(vm, r)) })
		}
	}()
	return l
}

func (l *load) record(got result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[got.outcome] == 0 {
		l.firstResults[got.outcome] = got
	}
	l.counts[got.outcome]++
}

// wait waits for the end of a load. At least one request must have been answered,
// and want lists the allowed outcomes; empty allows any.
func (l *load) wait(want []string) (string, error) {
	<-l.done
	summary := fmt.Sprint(l.counts)
	if l.counts[outcomeAnswered] == 0 {
		return summary, fmt.Errorf("no request was answered: %s", summary)
	}
	for outcome, got := range l.firstResults {
		if len(want) > 0 && !slices.Contains(want, outcome) {
			return summary, fmt.Errorf("%s: first unexpected outcome %s: %s %s via %s: %s, sent at %v",
				summary, outcome, got.request.method, got.request.path, got.vm, got.detail, got.sentAt)
		}
	}
	return summary, nil
}
