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
	// outcomeLost: the connection to the entry VM failed.
	outcomeLost = "lost"
)

// request is one request of a caller.
type request struct {
	method, path string
	id           core.RequestID
	body         string
}

func (r request) idempotent() bool { return r.method == http.MethodGet }

// answer is what a caller got.
type answer struct {
	request request
	vm      string
	outcome string
	detail  string
	// at is when it was sent, counted from the script's start.
	at time.Duration
	// fault is set if an answer isn't that of its request, whole.
	fault string
}

// parseRequest reads METHOD:PATH.
func parseRequest(s string) (request, error) {
	method, path, ok := strings.Cut(s, ":")
	if !ok || !strings.HasPrefix(path, "/") {
		return request{}, fmt.Errorf("request %q has not the form METHOD:/PATH", s)
	}
	return request{method: method, path: path}, nil
}

// fill gives a request its key and, if it has none, an id of its own.
func (w *world) fill(r request, key string) request {
	r.path = strings.ReplaceAll(r.path, "{k}", key)
	if r.id == "" {
		r.id = newID()
	}
	if r.body == "" && !r.idempotent() {
		r.body = "body of " + string(r.id)
	}
	return r
}

// newID returns a UUIDv7: others are unknown to a front for ten minutes after
// a start without memory.
func newID() core.RequestID { return core.RequestID(uuid.Must(uuid.NewV7()).String()) }

// do sends a request through a VM and records the answer.
func (w *world) do(vm *process, r request) answer {
	at := time.Since(w.start).Round(time.Millisecond)
	a := w.exchange(vm, r)
	a.request, a.vm, a.at = r, vm.id, at
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = append(w.answers, a)
	return a
}

func (w *world) exchange(vm *process, r request) answer {
	req, err := http.NewRequest(r.method, "http://"+*vm.callers.Load()+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		return answer{outcome: outcomeLost, detail: err.Error()}
	}
	// Without it the client would repeat a request by itself.
	req.GetBody = nil
	req.Header.Set(accept.HeaderIdempotencyKey, string(r.id))
	res, err := w.http.Do(req)
	if err != nil {
		return answer{outcome: outcomeLost, detail: err.Error()}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{outcome: outcomeLost, detail: err.Error()}
	}
	return answerOf(r, res, body)
}

func answerOf(r request, res *http.Response, body []byte) answer {
	if res.Header.Get("Content-Type") == "application/problem+json" {
		var p accept.Problem
		if err := json.Unmarshal(body, &p); err != nil {
			return answer{outcome: "other", fault: "problem document: " + err.Error()}
		}
		return answer{outcome: strings.TrimPrefix(p.Type, accept.ProblemBase), detail: p.Detail}
	}
	if res.StatusCode != http.StatusOK {
		return answer{outcome: "status-" + strconv.Itoa(res.StatusCode), detail: string(body)}
	}
	a := answer{outcome: outcomeAnswered}
	digest := target.Digest(r.method, r.path, r.id, []byte(r.body))
	switch {
	case res.Header.Get(target.HeaderDigest) != digest:
		a.fault = "the response has the digest of another request"
	case !bytes.Equal(body, target.Body(r.method, r.path, r.id, []byte(r.body))):
		a.fault = fmt.Sprintf("the body is not that of the request: %q", body)
	}
	return a
}

// options are the NAME=VALUE arguments of a traffic command; the rest are requests.
type options struct {
	via      []*process
	keys     int
	length   time.Duration
	rate     int
	requests []request
	id, body string
	want     []string
}

func (w *world) options(args []string) (options, error) {
	o := options{keys: 20, rate: 50, length: 5 * time.Second}
	for _, arg := range args {
		if err := w.option(&o, arg); err != nil {
			return o, err
		}
	}
	if o.via == nil {
		o.via = w.usable()
	}
	return o, nil
}

func (w *world) option(o *options, arg string) error {
	name, value, ok := strings.Cut(arg, "=")
	if !ok {
		r, err := parseRequest(arg)
		o.requests = append(o.requests, r)
		return err
	}
	var err error
	switch name {
	case "via":
		o.via, err = w.via(value)
	case "keys":
		o.keys, err = strconv.Atoi(value)
	case "rate":
		o.rate, err = strconv.Atoi(value)
	case "for":
		o.length, err = time.ParseDuration(value)
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

// via reads a list of VMs; one with ! before it stands for all but those.
func (w *world) via(list string) ([]*process, error) {
	list, others := strings.CutPrefix(list, "!")
	var named []*process
	for _, id := range strings.Split(list, ",") {
		p, err := w.process(id)
		if err != nil {
			return nil, err
		}
		named = append(named, p)
	}
	if !others {
		return named, nil
	}
	return slices.DeleteFunc(w.usable(), func(p *process) bool { return slices.Contains(named, p) }), nil
}

// usable returns the VMs that run.
func (w *world) usable() []*process {
	return slices.DeleteFunc(w.of(kindVM), func(p *process) bool { return !p.running() || p.stopped })
}

// served waits until every VM answers every request for every key, in one pass.
func (w *world) served(o options) error {
	return eventually("served", func() error {
		var group sync.WaitGroup
		failed := make(chan error, len(o.via))
		for _, vm := range o.via {
			group.Go(func() { failed <- w.pass(vm, o) })
		}
		group.Wait()
		close(failed)
		var all []error
		for err := range failed {
			all = append(all, err)
		}
		return errors.Join(all...)
	})
}

func (w *world) pass(vm *process, o options) error {
	for _, r := range o.requests {
		for k := range o.keys {
			a := w.do(vm, w.fill(r, "k"+strconv.Itoa(k)))
			if a.outcome != outcomeAnswered {
				return fmt.Errorf("%s %s through %s: %s: %s", r.method, a.request.path, vm.id, a.outcome, a.detail)
			}
		}
	}
	return nil
}

// load is background traffic.
type load struct {
	cancel context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex
	counts map[string]int
	first  map[string]answer
}

func (w *world) startLoad(o options) *load {
	ctx, cancel := context.WithTimeout(context.Background(), o.length)
	l := &load{cancel: cancel, done: make(chan struct{}), counts: make(map[string]int), first: make(map[string]answer)}
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
			r := w.fill(o.requests[n%len(o.requests)], "k"+strconv.Itoa(rand.IntN(o.keys)))
			group.Go(func() { l.note(w.do(vm, r)) })
		}
	}()
	return l
}

func (l *load) note(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[a.outcome] == 0 {
		l.first[a.outcome] = a
	}
	l.counts[a.outcome]++
}

// await waits for the end of a load; without want any outcome is allowed, but
// some request must have been answered.
func (l *load) await(want []string) (string, error) {
	<-l.done
	summary := fmt.Sprint(l.counts)
	if l.counts[outcomeAnswered] == 0 {
		return summary, fmt.Errorf("no request was answered: %s", summary)
	}
	for outcome, a := range l.first {
		if len(want) > 0 && !slices.Contains(want, outcome) {
			return summary, fmt.Errorf("%s: first %s: %s %s through %s: %s, sent at %v",
				summary, outcome, a.request.method, a.request.path, a.vm, a.detail, a.at)
		}
	}
	return summary, nil
}
