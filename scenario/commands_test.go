package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/standin/target"
)

type scriptCommand = func(ts *testscript.TestScript, neg bool, args []string)

// commandFunc runs a command and returns the text to log.
type commandFunc func(c *cluster, ts *testscript.TestScript, args []string) (string, error)

func commands() map[string]scriptCommand {
	out := make(map[string]scriptCommand)
	for name, command := range map[string]struct {
		minArgs int
		run     commandFunc
	}{
		"platform": {0, func(c *cluster, _ *testscript.TestScript, args []string) (string, error) {
			return "", c.startPlatform(args)
		}},
		"target": {3, func(c *cluster, _ *testscript.TestScript, args []string) (string, error) {
			return "", c.startTarget(args[0], args[1], args[2], args[3:])
		}},
		"vm":     {2, commandVM},
		"submit": {1, commandSubmit},
		"deploy": {1, commandDeploy},
		"console": {1, func(c *cluster, ts *testscript.TestScript, args []string) (string, error) {
			return "", c.submitViaConsole(c.policyDocument(ts.ReadFile(args[0]), nil))
		}},
		"sigkill":   {1, forEachProcess((*cluster).kill)},
		"sigterm":   {1, forEachProcess((*cluster).terminate)},
		"sigcont":   {1, forEachProcess((*cluster).resume)},
		"restart":   {1, forEachProcess((*cluster).restart)},
		"sigstop":   {1, forEachProcess(func(_ *cluster, p *process) error { p.suspended = true; return p.signal(syscall.SIGSTOP) })},
		"who":       {3, commandWho},
		"fault":     {2, commandFault},
		"cold":      {1, commandCold},
		"overloads": {2, commandOverloads},
		"cut":       {2, commandCut},
		"heal":      {0, commandHeal},
		"served":    {1, commandServed},
		"send":      {3, commandSend},
		"load":      {2, commandLoad},
		"await":     {1, commandAwait},
		"pause":     {1, commandPause},
		"http":      {4, commandHTTP},
		"domain": {2, func(c *cluster, _ *testscript.TestScript, args []string) (string, error) {
			return "", c.runOperatorCommand("domain", args[1], args[0], "--confirm")
		}},
		"candidates": {2, commandCandidates},
		"quiet": {1, func(c *cluster, _ *testscript.TestScript, args []string) (string, error) {
			return c.waitIdle(args)
		}},
		"check": {0, func(c *cluster, _ *testscript.TestScript, _ []string) (string, error) { return c.check() }},
	} {
		out[name] = newScriptCommand(name, command.minArgs, command.run)
	}
	return out
}

// newScriptCommand returns a testscript command that logs its output with the
// time since the start of the script.
func newScriptCommand(name string, minArgs int, run commandFunc) scriptCommand {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if len(args) < minArgs {
			ts.Fatalf("%s needs at least %d arguments", name, minArgs)
		}
		c := ts.Value(clusterKey{}).(*cluster)
		output, err := run(c, ts, args)
		if output != "" {
			ts.Logf("[%v] %s", time.Since(c.startedAt).Round(time.Millisecond), output)
		}
		switch {
		case err != nil && !neg:
			ts.Fatalf("%s: %v", name, err)
		case err == nil && neg:
			ts.Fatalf("%s succeeded, expected an error", name)
		}
	}
}

func forEachProcess(f func(*cluster, *process) error) commandFunc {
	return func(c *cluster, _ *testscript.TestScript, args []string) (string, error) {
		for _, id := range args {
			p, err := c.findProcess(id)
			if err != nil {
				return "", err
			}
			if err := f(c, p); err != nil {
				return "", err
			}
		}
		return "", nil
	}
}

func commandVM(c *cluster, ts *testscript.TestScript, args []string) (string, error) {
	settings := ""
	if len(args) > 2 {
		settings = ts.ReadFile(args[2])
	}
	return "", c.startVM(args[0], args[1], settings)
}

func commandSubmit(c *cluster, ts *testscript.TestScript, args []string) (string, error) {
	var files []string
	extra := make(map[string]string)
	for _, arg := range args {
		if id, line, ok := strings.Cut(arg, "."); ok && strings.Contains(line, "=") {
			extra[id] += line + "\n"
		}
	}
	for _, arg := range args {
		if !strings.Contains(arg, "=") {
			file := filepath.Join(c.dir, "settings", filepath.Base(arg)+".full")
			files = append(files, file)
			if err := os.WriteFile(file, []byte(c.policyDocument(ts.ReadFile(arg), extra)), 0o644); err != nil {
				return "", err
			}
		}
	}
	if len(files) == 1 {
		return "", c.runOperatorCommand("policy", "submit", files[0])
	}
	winner, err := c.submitConcurrently(files)
	if err != nil {
		return "", err
	}
	ts.Setenv("WON", args[winner])
	ts.Setenv("LOST", args[1-winner])
	return args[winner] + " was accepted", nil
}

// commandDeploy starts one of the deployments in testdata/common and waits until
// it serves requests.
func commandDeploy(c *cluster, ts *testscript.TestScript, args []string) (string, error) {
	for line := range strings.Lines(ts.ReadFile("common/" + args[0] + ".deploy")) {
		f := strings.Fields(line)
		var err error
		switch f[0] {
		case "platform":
			err = c.startPlatform(nil)
		case "target":
			err = c.startTarget(f[1], f[2], f[3], nil)
		case "vm":
			_, err = commandVM(c, ts, f[1:])
		case "submit":
			_, err = commandSubmit(c, ts, f[1:])
		case "served":
			_, err = commandServed(c, ts, f[1:])
		default:
			err = fmt.Errorf("command %q is not supported in a deployment file", f[0])
		}
		if err != nil {
			return "", fmt.Errorf("%s: %w", strings.TrimSpace(line), err)
		}
	}
	return "", nil
}

func commandWho(c *cluster, ts *testscript.TestScript, args []string) (string, error) {
	name := ""
	switch args[1] {
	case "coordinator":
		state, err := c.readLog()
		if err != nil {
			return "", err
		}
		name = string(state.Terms[core.FailureDomain(args[2])].Coordinator)
	case "front":
		var err error
		if name, err = c.frontOf(args[2]); err != nil {
			return "", err
		}
	case "plain-front":
		for _, t := range c.processesOfKind(kindTarget) {
			if front, err := c.frontOf(t.id); t.domain == args[2] && err == nil && front != args[3] {
				name = front
			}
		}
	default:
		return "", fmt.Errorf("unknown role %q: want coordinator, front or plain-front", args[1])
	}
	if name == "" {
		return "", fmt.Errorf("%s of %s is unknown", args[1], args[2])
	}
	ts.Setenv(args[0], name)
	return args[0] + " is " + name, nil
}

// frontOf returns the VM that sent the request of a target's last run.
func (c *cluster) frontOf(id string) (string, error) {
	runs, err := c.readRuns(id)
	if err != nil || len(runs) == 0 {
		return "", fmt.Errorf("%s has no runs: %w", id, err)
	}
	return string(runs[len(runs)-1].Front), nil
}

func commandCandidates(c *cluster, _ *testscript.TestScript, args []string) (string, error) {
	return "", eventually("candidates of "+args[0], func() error {
		state, err := c.readLog()
		if err != nil {
			return err
		}
		if got := len(state.Terms[core.FailureDomain(args[0])].Candidates); strconv.Itoa(got) != args[1] {
			return fmt.Errorf("got %d candidates, want %s", got, args[1])
		}
		return nil
	})
}

// commandHTTP sends a body to a listener of a process and checks the status:
// http METHOD ID callers|peers|operators|main PATH STATUS [BODY].
func commandHTTP(c *cluster, _ *testscript.TestScript, args []string) (string, error) {
	p, err := c.findProcess(args[1])
	if err != nil {
		return "", err
	}
	address := p.address
	switch args[2] {
	case "callers":
		address = *p.callersAddress.Load()
	case "operators":
		address = p.operatorsAddress
	}
	req, err := http.NewRequest(args[0], "http://"+address+args[3], strings.NewReader(strings.Join(args[5:], " ")))
	if err != nil {
		return "", err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.httpClient.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err == nil && strconv.Itoa(res.StatusCode) != args[4] {
		err = fmt.Errorf("got status %d, want %s", res.StatusCode, args[4])
	}
	return fmt.Sprintf("%d %.200s", res.StatusCode, body), err
}

func commandFault(c *cluster, _ *testscript.TestScript, args []string) (string, error) {
	p, err := c.findProcess(args[0])
	if err != nil {
		return "", err
	}
	changes := make(map[string]any)
	for _, arg := range args[1:] {
		name, value, _ := strings.Cut(arg, "=")
		changes[name] = value
		if p.kind == kindPlatform {
			changes[name] = json.RawMessage(value)
		}
	}
	return "", c.callJSON(http.MethodPut, "http://"+p.address+"/standin/faults", changes, nil)
}

func commandCold(c *cluster, _ *testscript.TestScript, args []string) (string, error) {
	p, err := c.findProcess(args[0])
	if err != nil {
		return "", err
	}
	return "", c.callJSON(http.MethodPost, "http://"+p.address+"/standin/cold", nil, nil)
}

func commandOverloads(c *cluster, _ *testscript.TestScript, args []string) (string, error) {
	p, err := c.findProcess(args[0])
	if err != nil {
		return "", err
	}
	maxOverloads, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	var s target.Status
	if err := c.callJSON(http.MethodGet, "http://"+p.address+"/standin/state", nil, &s); err != nil {
		return "", err
	}
	if s.Overloads > maxOverloads {
		return "", fmt.Errorf("%s was overloaded %d times while cold, at most %d allowed", p.id, s.Overloads, maxOverloads)
	}
	return fmt.Sprintf("%s was overloaded %d times while cold", p.id, s.Overloads), nil
}

func commandCut(c *cluster, _ *testscript.TestScript, args []string) (string, error) {
	for _, name := range args[:2] {
		if len(c.matchProcesses(name)) == 0 {
			return "", fmt.Errorf("%q is neither a process nor a failure domain", name)
		}
	}
	c.partitions = append(c.partitions, [2]string{args[0], args[1]})
	return "", c.writePartitions()
}

func commandHeal(c *cluster, _ *testscript.TestScript, _ []string) (string, error) {
	c.partitions = nil
	return "", c.writePartitions()
}

func commandServed(c *cluster, _ *testscript.TestScript, args []string) (string, error) {
	start := time.Now()
	o, err := c.parseOptions(args)
	if err != nil {
		return "", err
	}
	err = c.waitServed(o)
	return fmt.Sprintf("served after %v", time.Since(start).Round(time.Millisecond)), err
}

func commandSend(c *cluster, _ *testscript.TestScript, args []string) (string, error) {
	vm, err := c.findProcess(args[0])
	if err != nil {
		return "", err
	}
	o, err := c.parseOptions(args[1:])
	if err != nil {
		return "", err
	}
	if len(o.requests) != 1 || o.want == nil {
		return "", fmt.Errorf("send needs exactly one request and the option want")
	}
	r := o.requests[0]
	if o.id != "" && c.requestIDs[o.id] == "" {
		c.requestIDs[o.id] = newRequestID()
	}
	r.id, r.body = c.requestIDs[o.id], o.body
	got := c.sendAndRecord(vm, c.instantiate(r, "k0"))
	output := fmt.Sprintf("%s: %s %s", got.request.id, got.outcome, got.detail)
	if !slices.Contains(o.want, got.outcome) {
		return output, fmt.Errorf("got outcome %s, want one of %v", got.outcome, o.want)
	}
	return output, nil
}

func commandLoad(c *cluster, _ *testscript.TestScript, args []string) (string, error) {
	o, err := c.parseOptions(args[1:])
	if err != nil {
		return "", err
	}
	if len(o.requests) == 0 || len(o.via) == 0 || c.loads[args[0]] != nil {
		return "", fmt.Errorf("load %q needs a request, a VM and a name that is not in use", args[0])
	}
	c.loads[args[0]] = c.startLoad(o)
	return "", nil
}

func commandAwait(c *cluster, _ *testscript.TestScript, args []string) (string, error) {
	l := c.loads[args[0]]
	if l == nil {
		return "", fmt.Errorf("unknown load %q", args[0])
	}
	o, err := c.parseOptions(args[1:])
	if err != nil {
		return "", err
	}
	return l.wait(o.want)
}

func commandPause(_ *cluster, _ *testscript.TestScript, args []string) (string, error) {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return "", err
}
