package scenario

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"celeryhook.example/celeryhook/internal/command"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
)

type worldKey struct{}

// world is the state of one script.
type world struct {
	dir       string
	processes map[string]*process
	// cuts are pairs of process ids, domains or "platform".
	cuts  [][2]string
	loads map[string]*load
	http  *http.Client
	start time.Time
	// folded is the last state read from the log.
	folded platformlog.State

	mu      sync.Mutex
	answers []answer
	// ids are the request ids that a script names.
	ids map[string]core.RequestID
}

func newWorld(env *testscript.Env) *world {
	w := &world{
		dir:       env.WorkDir,
		processes: make(map[string]*process),
		loads:     make(map[string]*load),
		ids:       make(map[string]core.RequestID),
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: progress},
		start:     time.Now(),
	}
	for _, d := range []string{"log", "runs", "cuts", "settings"} {
		if err := os.MkdirAll(filepath.Join(w.dir, d), 0o755); err != nil {
			env.T().Fatal(err)
		}
	}
	return w
}

// close ends all processes of the script.
func (w *world) close() {
	for _, l := range w.loads {
		l.cancel()
		<-l.done
	}
	for _, p := range w.processes {
		if p.running() {
			_ = p.signal(syscall.SIGKILL)
			<-p.exited
		}
	}
	w.http.CloseIdleConnections()
}

// saveStatus keeps what the VMs say of themselves, and what callers were told,
// for the logs.
func (w *world) saveStatus() {
	var told strings.Builder
	w.mu.Lock()
	for _, a := range w.answers {
		if a.outcome != outcomeAnswered {
			fmt.Fprintf(&told, "%v %s %s %s through %s: %s: %s\n", a.at, a.request.method, a.request.path, a.request.id, a.vm, a.outcome, a.detail)
		}
	}
	w.mu.Unlock()
	_ = os.WriteFile(filepath.Join(w.dir, "log", "answers"), []byte(told.String()), 0o644)
	for _, vm := range w.usable() {
		var status json.RawMessage
		if err := w.call(http.MethodGet, "http://"+vm.operators+"/status", nil, &status); err != nil {
			status = []byte(err.Error())
		}
		_ = os.WriteFile(filepath.Join(w.dir, "log", vm.id+".status"), status, 0o644)
	}
}

func (w *world) process(id string) (*process, error) {
	if p := w.processes[id]; p != nil {
		return p, nil
	}
	return nil, fmt.Errorf("there is no process %q", id)
}

// of returns the processes of a kind, by id.
func (w *world) of(k kind) []*process {
	var out []*process
	for _, p := range w.processes {
		if p.kind == k {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *process) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (w *world) platformURL() string { return "http://" + w.processes["platform"].address }

func (w *world) startPlatform(args []string) error {
	p := &process{id: "platform", kind: kindPlatform, args: args}
	w.processes[p.id] = p
	return w.launch(p, append([]string{"standin-platform"}, args...))
}

func (w *world) startTarget(id, service, domain string, args []string) error {
	p := &process{id: id, kind: kindTarget, service: service, domain: domain, args: args}
	w.processes[id] = p
	return w.launchTarget(p)
}

// launchTarget starts a target; a restarted one keeps its address.
func (w *world) launchTarget(p *process) error {
	args := []string{"standin-target", "--id", p.id, "--run-log", w.runFile(p.id)}
	if p.address != "" {
		args = append(args, "--listen", p.address)
	}
	return w.launch(p, append(args, p.args...))
}

func (w *world) startVM(id, domain, settings string) error {
	p := &process{id: id, kind: kindVM, domain: domain, args: []string{settings}}
	w.processes[id] = p
	return w.launchVM(p)
}

// launchVM starts an entry VM on new ports; it knows the VMs that run now.
func (w *world) launchVM(p *process) error {
	var s strings.Builder
	fmt.Fprintf(&s, "[vm]\nid = %s\nfailure_domain = %s\n[platform]\naddress = %s\n[peers]\n", p.id, p.domain, w.platformURL())
	for _, other := range w.of(kindVM) {
		if other != p && other.running() {
			fmt.Fprintf(&s, "%s = %s@%s\n", other.id, other.domain, other.address)
		}
	}
	s.WriteString(p.args[0])
	file := filepath.Join(w.dir, "settings", p.id+".ini")
	if err := os.WriteFile(file, []byte(s.String()), 0o644); err != nil {
		return err
	}
	if err := w.launch(p, []string{"entry", "--settings", file}); err != nil {
		return err
	}
	if err := w.writeCuts(); err != nil {
		return err
	}
	return w.register(p)
}

// register tells the platform where a VM listens; a platform that is stopped
// learns it when it continues.
func (w *world) register(p *process) error {
	platform := w.processes["platform"]
	if !platform.running() || platform.stopped {
		return nil
	}
	vm := platformlog.LiveVM{ID: core.VM(p.id), FailureDomain: core.FailureDomain(p.domain), Address: p.address}
	return w.call(http.MethodPut, w.platformURL()+"/vms", vm, nil)
}

func (w *world) restart(p *process) error {
	if p.running() {
		return fmt.Errorf("%s is running", p.id)
	}
	switch p.kind {
	case kindTarget:
		return w.launchTarget(p)
	case kindVM:
		return w.launchVM(p)
	}
	return fmt.Errorf("%s: the platform's log is not kept, so it can't be restarted", p.id)
}

func (w *world) cont(p *process) error {
	if err := p.signal(syscall.SIGCONT); err != nil {
		return err
	}
	p.stopped = false
	if p.kind != kindPlatform {
		return nil
	}
	for _, vm := range w.of(kindVM) {
		if err := w.register(vm); err != nil {
			return err
		}
	}
	return nil
}

// call exchanges JSON with a stand-in.
func (w *world) call(method, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := w.http.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode >= 300 {
		return fmt.Errorf("%s %s: status %d", method, url, res.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(res.Body).Decode(out)
}

// readLog folds the log up to its end.
func (w *world) readLog() (platformlog.State, error) {
	if p := w.processes["platform"]; p.stopped || !p.running() {
		return w.folded, nil
	}
	log := platformlog.NewHTTPLog(w.platformURL(), w.http)
	for {
		page, err := log.Read(context.Background(), w.folded.Offset+1, 256, 0)
		if err != nil || len(page.Entries) == 0 {
			return w.folded, err
		}
		for _, e := range page.Entries {
			r, err := platformlog.DecodeRecord(e.Data)
			if err != nil {
				w.folded = w.folded.Skip(e.Offset)
				continue
			}
			w.folded, _ = w.folded.Apply(e.Offset, r)
		}
	}
}

// operate runs an operator's command against the platform.
func (w *world) operate(args ...string) error {
	args = append(args, "--platform", w.platformURL(), "--author", "scenario")
	out, err := exec.Command("celeryhook", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, out)
	}
	return nil
}

// race submits documents at the same time, all to replace the version in
// force, and returns which one was accepted; the others must be told so.
func (w *world) race(files []string) (int, error) {
	folded, err := w.readLog()
	if err != nil {
		return 0, err
	}
	errs := make([]error, len(files))
	var group sync.WaitGroup
	for i, f := range files {
		group.Go(func() {
			errs[i] = w.operate("policy", "submit", f, "--base", strconv.FormatUint(folded.PolicyVersion, 10))
		})
	}
	group.Wait()
	won := -1
	for i, err := range errs {
		var exit *exec.ExitError
		switch {
		case err == nil && won < 0:
			won = i
		case err == nil:
			return 0, fmt.Errorf("%s and %s were both accepted", files[won], files[i])
		case !errors.As(err, &exit) || exit.ExitCode() != command.ExitRaced:
			return 0, err
		}
	}
	if won < 0 {
		return 0, errors.Join(errs...)
	}
	return won, nil
}

// policy returns a document with a section for each target, to which extra
// lines may be added.
func (w *world) policy(document string, extra map[string]string) string {
	var s strings.Builder
	s.WriteString(document)
	for _, t := range w.of(kindTarget) {
		fmt.Fprintf(&s, "\n[target %s]\nservice = %s\nfailure_domain = %s\naddress = %s\nslots = 6\n",
			t.id, t.service, t.domain, t.address)
		if slices.Contains(t.args, "--no-checks") {
			s.WriteString("checks_grants = no\n")
		}
		s.WriteString(extra[t.id])
	}
	return s.String()
}

func (w *world) cutFile(id string) string { return filepath.Join(w.dir, "cuts", id) }

// members returns the processes that a name of a cut stands for; DOMAIN:vm
// stands for the VMs of a failure domain.
func (w *world) members(name string) []*process {
	var out []*process
	domain, only, _ := strings.Cut(name, ":")
	for _, p := range w.processes {
		if p.id == name || p.domain == domain && (only == "" || only == string(p.kind)) {
			out = append(out, p)
		}
	}
	return out
}

// writeCuts tells every VM which addresses it can't reach.
func (w *world) writeCuts() error {
	unreachable := make(map[string][]string)
	for _, c := range w.cuts {
		for _, a := range w.members(c[0]) {
			for _, b := range w.members(c[1]) {
				unreachable[a.id] = append(unreachable[a.id], b.address)
				unreachable[b.id] = append(unreachable[b.id], a.address)
			}
		}
	}
	for _, vm := range w.of(kindVM) {
		next := w.cutFile(vm.id) + ".next"
		if err := os.WriteFile(next, []byte(strings.Join(unreachable[vm.id], "\n")), 0o644); err != nil {
			return err
		}
		if err := os.Rename(next, w.cutFile(vm.id)); err != nil {
			return err
		}
	}
	time.Sleep(5 * cutPoll)
	return nil
}
