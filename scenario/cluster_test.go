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

type clusterKey struct{}

// cluster is the state of one script: its processes, the partitions between them
// and the results of its requests.
type cluster struct {
	dir       string
	processes map[string]*process
	// partitions are pairs of names, see matchProcesses.
	partitions [][2]string
	loads      map[string]*load
	httpClient *http.Client
	startedAt  time.Time
	// state is the result of the log's records read so far.
	state platformlog.State

	mu      sync.Mutex
	results []result
	// requestIDs are the request ids by their names in the script.
	requestIDs map[string]core.RequestID
}

func newCluster(env *testscript.Env) *cluster {
	c := &cluster{
		dir:        env.WorkDir,
		processes:  make(map[string]*process),
		loads:      make(map[string]*load),
		requestIDs: make(map[string]core.RequestID),
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: progressTimeout},
		startedAt:  time.Now(),
	}
	for _, d := range []string{"log", "runs", "cuts", "settings"} {
		if err := os.MkdirAll(filepath.Join(c.dir, d), 0o755); err != nil {
			env.T().Fatal(err)
		}
	}
	return c
}

// close cancels the loads and kills all processes of the script.
func (c *cluster) close() {
	for _, l := range c.loads {
		l.cancel()
		<-l.done
	}
	for _, p := range c.processes {
		if p.running() {
			_ = p.signal(syscall.SIGKILL)
			<-p.exited
		}
	}
	c.httpClient.CloseIdleConnections()
}

// saveStatus writes the status of each VM and the results other than answered to
// the log directory.
func (c *cluster) saveStatus() {
	var failures strings.Builder
	c.mu.Lock()
	for _, got := range c.results {
		if got.outcome != outcomeAnswered {
			fmt.Fprintf(&failures, "%v %s %s %s via %s: %s: %s\n", got.sentAt, got.request.method, got.request.path, got.request.id, got.vm, got.outcome, got.detail)
		}
	}
	c.mu.Unlock()
	_ = os.WriteFile(filepath.Join(c.dir, "log", "answers"), []byte(failures.String()), 0o644)
	for _, vm := range c.runningVMs() {
		var status json.RawMessage
		if err := c.callJSON(http.MethodGet, "http://"+vm.operatorsAddress+"/status", nil, &status); err != nil {
			status = []byte(err.Error())
		}
		_ = os.WriteFile(filepath.Join(c.dir, "log", vm.id+".status"), status, 0o644)
	}
}

func (c *cluster) findProcess(id string) (*process, error) {
	if p := c.processes[id]; p != nil {
		return p, nil
	}
	return nil, fmt.Errorf("unknown process %q", id)
}

// processesOfKind returns the processes of a kind, sorted by id.
func (c *cluster) processesOfKind(k processKind) []*process {
	var out []*process
	for _, p := range c.processes {
		if p.kind == k {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *process) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (c *cluster) platformURL() string { return "http://" + c.processes["platform"].address }

func (c *cluster) startPlatform(args []string) error {
	p := &process{id: "platform", kind: kindPlatform, args: args}
	c.processes[p.id] = p
	return c.launch(p, append([]string{"standin-platform"}, args...))
}

func (c *cluster) startTarget(id, service, domain string, args []string) error {
	p := &process{id: id, kind: kindTarget, service: service, domain: domain, args: args}
	c.processes[id] = p
	return c.launchTarget(p)
}

// launchTarget starts a target; on a restart it keeps its address.
func (c *cluster) launchTarget(p *process) error {
	args := []string{"standin-target", "--id", p.id, "--run-log", c.runLogPath(p.id)}
	if p.address != "" {
		args = append(args, "--listen", p.address)
	}
	return c.launch(p, append(args, p.args...))
}

func (c *cluster) startVM(id, domain, settings string) error {
	p := &process{id: id, kind: kindVM, domain: domain, args: []string{settings}}
	c.processes[id] = p
	return c.launchVM(p)
}

// launchVM starts an entry VM on new ports, with the VMs running now as its
// configured peers.
func (c *cluster) launchVM(p *process) error {
	var s strings.Builder
	fmt.Fprintf(&s, "[vm]\nid = %s\nfailure_domain = %s\n[platform]\naddress = %s\n[peers]\n", p.id, p.domain, c.platformURL())
	for _, other := range c.processesOfKind(kindVM) {
		if other != p && other.running() {
			fmt.Fprintf(&s, "%s = %s@%s\n", other.id, other.domain, other.address)
		}
	}
	s.WriteString(p.args[0])
	file := filepath.Join(c.dir, "settings", p.id+".ini")
	if err := os.WriteFile(file, []byte(s.String()), 0o644); err != nil {
		return err
	}
	if err := c.launch(p, []string{"entry", "--settings", file}); err != nil {
		return err
	}
	if err := c.writePartitions(); err != nil {
		return err
	}
	return c.register(p)
}

// register adds a VM to the platform's list of VMs. If the platform is suspended,
// resume does it later.
func (c *cluster) register(p *process) error {
	platform := c.processes["platform"]
	if !platform.running() || platform.suspended {
		return nil
	}
	vm := platformlog.LiveVM{ID: core.VM(p.id), FailureDomain: core.FailureDomain(p.domain), Address: p.address}
	return c.callJSON(http.MethodPut, c.platformURL()+"/vms", vm, nil)
}

func (c *cluster) restart(p *process) error {
	if p.running() {
		return fmt.Errorf("%s is already running", p.id)
	}
	switch p.kind {
	case kindTarget:
		return c.launchTarget(p)
	case kindVM:
		return c.launchVM(p)
	}
	return fmt.Errorf("%s can't be restarted: the stand-in does not persist its log", p.id)
}

// resume continues a suspended process. VMs that started while the platform was
// suspended are registered now.
func (c *cluster) resume(p *process) error {
	if err := p.signal(syscall.SIGCONT); err != nil {
		return err
	}
	p.suspended = false
	if p.kind != kindPlatform {
		return nil
	}
	for _, vm := range c.processesOfKind(kindVM) {
		if err := c.register(vm); err != nil {
			return err
		}
	}
	return nil
}

// callJSON sends a JSON request to a process and decodes its response.
func (c *cluster) callJSON(method, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := c.httpClient.Do(req)
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

// readLog applies the records up to the end of the log and returns the state.
func (c *cluster) readLog() (platformlog.State, error) {
	if p := c.processes["platform"]; p.suspended || !p.running() {
		return c.state, nil
	}
	log := platformlog.NewHTTPLog(c.platformURL(), c.httpClient)
	for {
		page, err := log.Read(context.Background(), c.state.Offset+1, 256, 0)
		if err != nil || len(page.Entries) == 0 {
			return c.state, err
		}
		for _, e := range page.Entries {
			r, err := platformlog.DecodeRecord(e.Data)
			if err != nil {
				c.state = c.state.Skip(e.Offset)
				continue
			}
			c.state, _ = c.state.Apply(e.Offset, r)
		}
	}
}

// runOperatorCommand runs a subcommand of celeryhook against the platform.
func (c *cluster) runOperatorCommand(args ...string) error {
	args = append(args, "--platform", c.platformURL(), "--author", "scenario")
	out, err := exec.Command("celeryhook", args...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, out)
	}
	return nil
}

// submitConcurrently submits documents at the same time, all based on the version
// in force, and returns the index of the accepted one. The others must exit with
// the code for a conflict.
func (c *cluster) submitConcurrently(files []string) (int, error) {
	state, err := c.readLog()
	if err != nil {
		return 0, err
	}
	errs := make([]error, len(files))
	var group sync.WaitGroup
	for i, f := range files {
		group.Go(func() {
			errs[i] = c.runOperatorCommand("policy", "submit", f, "--base", strconv.FormatUint(state.PolicyVersion, 10))
		})
	}
	group.Wait()
	winner := -1
	for i, err := range errs {
		var exitErr *exec.ExitError
		switch {
		case err == nil && winner < 0:
			winner = i
		case err == nil:
			return 0, fmt.Errorf("%s and %s were both accepted", files[winner], files[i])
		case !errors.As(err, &exitErr) || exitErr.ExitCode() != command.ExitConflict:
			return 0, err
		}
	}
	if winner < 0 {
		return 0, errors.Join(errs...)
	}
	return winner, nil
}

// policyDocument returns the document with a section for each target; extra holds
// further lines of a section by target id.
func (c *cluster) policyDocument(document string, extra map[string]string) string {
	var s strings.Builder
	s.WriteString(document)
	for _, t := range c.processesOfKind(kindTarget) {
		fmt.Fprintf(&s, "\n[target %s]\nservice = %s\nfailure_domain = %s\naddress = %s\nslots = 6\n",
			t.id, t.service, t.domain, t.address)
		if slices.Contains(t.args, "--no-checks") {
			s.WriteString("checks_grants = no\n")
		}
		s.WriteString(extra[t.id])
	}
	return s.String()
}

func (c *cluster) partitionFile(id string) string { return filepath.Join(c.dir, "cuts", id) }

// matchProcesses returns the processes at one end of a partition. The name is a
// process id, a failure domain, or DOMAIN:vm for only the VMs of a domain.
func (c *cluster) matchProcesses(name string) []*process {
	var out []*process
	domain, onlyKind, _ := strings.Cut(name, ":")
	for _, p := range c.processes {
		if p.id == name || p.domain == domain && (onlyKind == "" || onlyKind == string(p.kind)) {
			out = append(out, p)
		}
	}
	return out
}

// writePartitions writes for each VM the addresses that it can't reach, and waits
// until the VMs have read them.
func (c *cluster) writePartitions() error {
	unreachable := make(map[string][]string)
	for _, p := range c.partitions {
		for _, a := range c.matchProcesses(p[0]) {
			for _, b := range c.matchProcesses(p[1]) {
				unreachable[a.id] = append(unreachable[a.id], b.address)
				unreachable[b.id] = append(unreachable[b.id], a.address)
			}
		}
	}
	for _, vm := range c.processesOfKind(kindVM) {
		tmpFile := c.partitionFile(vm.id) + ".next"
		if err := os.WriteFile(tmpFile, []byte(strings.Join(unreachable[vm.id], "\n")), 0o644); err != nil {
			return err
		}
		if err := os.Rename(tmpFile, c.partitionFile(vm.id)); err != nil {
			return err
		}
	}
	time.Sleep(5 * partitionPollInterval)
	return nil
}
