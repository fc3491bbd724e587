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

// commandFunc returns what the command prints.
type commandFunc func(w *world, ts *testscript.TestScript, args []string) (string, error)

func commands() map[string]scriptCommand {
	out := make(map[string]scriptCommand)
	for name, c := range map[string]struct {
		args int
		run  commandFunc
	}{
		"platform": {0, func(w *world, _ *testscript.TestScript, args []string) (string, error) {
			return "", w.startPlatform(args)
		}},
		"target": {3, func(w *world, _ *testscript.TestScript, args []string) (string, error) {
			return "", w.startTarget(args[0], args[1], args[2], args[3:])
		}},
		"vm":     {2, commandVM},
		"submit": {1, commandSubmit},
		"deploy": {1, commandDeploy},
		"console": {1, func(w *world, ts *testscript.TestScript, args []string) (string, error) {
			return "", w.consoleSubmit(w.policy(ts.ReadFile(args[0]), nil))
		}},
		"sigkill":   {1, each((*world).kill)},
		"sigterm":   {1, each((*world).term)},
		"sigcont":   {1, each((*world).cont)},
		"restart":   {1, each((*world).restart)},
		"sigstop":   {1, each(func(_ *world, p *process) error { p.stopped = true; return p.signal(syscall.SIGSTOP) })},
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
		"domain": {2, func(w *world, _ *testscript.TestScript, args []string) (string, error) {
			return "", w.operate("domain", args[1], args[0], "--confirm")
		}},
		"candidates": {2, commandCandidates},
		"quiet": {1, func(w *world, _ *testscript.TestScript, args []string) (string, error) {
			return w.quiet(args)
		}},
		"check": {0, func(w *world, _ *testscript.TestScript, _ []string) (string, error) { return w.check() }},
	} {
		out[name] = wrap(name, c.args, c.run)
	}
	return out
}

func wrap(name string, least int, run commandFunc) scriptCommand {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if len(args) < least {
			ts.Fatalf("%s needs at least %d arguments", name, least)
		}
		w := ts.Value(worldKey{}).(*world)
		printed, err := run(w, ts, args)
		if printed != "" {
			ts.Logf("[%v] %s", time.Since(w.start).Round(time.Millisecond), printed)
		}
		switch {
		case err != nil && !neg:
			ts.Fatalf("%s: %v", name, err)
		case err == nil && neg:
			ts.Fatalf("%s succeeded", name)
		}
	}
}

func each(f func(*world, *process) error) commandFunc {
	return func(w *world, _ *testscript.TestScript, args []string) (string, error) {
		for _, id := range args {
			p, err := w.process(id)
			if err != nil {
				return "", err
			}
			if err := f(w, p); err != nil {
				return "", err
			}
		}
		return "", nil
	}
}

func commandVM(w *world, ts *testscript.TestScript, args []string) (string, error) {
	settings := ""
	if len(args) > 2 {
		settings = ts.ReadFile(args[2])
	}
	return "", w.startVM(args[0], args[1], settings)
}

func commandSubmit(w *world, ts *testscript.TestScript, args []string) (string, error) {
	var files []string
	extra := make(map[string]string)
	for _, arg := range args {
		if id, line, ok := strings.Cut(arg, "."); ok && strings.Contains(line, "=") {
			extra[id] += line + "\n"
		}
	}
	for _, arg := range args {
		if !strings.Contains(arg, "=") {
			file := filepath.Join(w.dir, "settings", filepath.Base(arg)+".full")
			files = append(files, file)
			if err := os.WriteFile(file, []byte(w.policy(ts.ReadFile(arg), extra)), 0o644); err != nil {
				return "", err
			}
		}
	}
	if len(files) == 1 {
		return "", w.operate("policy", "submit", files[0])
	}
	won, err := w.race(files)
	if err != nil {
		return "", err
	}
	ts.Setenv("WON", args[won])
	ts.Setenv("LOST", args[1-won])
	return args[won] + " won", nil
}

// commandDeploy starts one of the deployments in testdata/common and waits until
// it serves.
func commandDeploy(w *world, ts *testscript.TestScript, args []string) (string, error) {
	for line := range strings.Lines(ts.ReadFile("common/" + args[0] + ".deploy")) {
		f := strings.Fields(line)
		var err error
		switch f[0] {
		case "platform":
			err = w.startPlatform(nil)
		case "target":
			err = w.startTarget(f[1], f[2], f[3], nil)
		case "vm":
			_, err = commandVM(w, ts, f[1:])
		case "submit":
			_, err = commandSubmit(w, ts, f[1:])
		case "served":
			_, err = commandServed(w, ts, f[1:])
		default:
			err = fmt.Errorf("%q can't be used in a deployment", f[0])
		}
		if err != nil {
			return "", fmt.Errorf("%s: %w", strings.TrimSpace(line), err)
		}
	}
	return "", nil
}

func commandWho(w *world, ts *testscript.TestScript, args []string) (string, error) {
	name := ""
	switch args[1] {
	case "coordinator":
		folded, err := w.readLog()
		if err != nil {
			return "", err
		}
		name = string(folded.Terms[core.FailureDomain(args[2])].Coordinator)
	case "front":
		var err error
		if name, err = w.frontOf(args[2]); err != nil {
			return "", err
		}
	case "plain-front":
		for _, t := range w.of(kindTarget) {
			if front, err := w.frontOf(t.id); t.domain == args[2] && err == nil && front != args[3] {
				name = front
			}
		}
	default:
		return "", fmt.Errorf("%q is not coordinator, front or plain-front", args[1])
	}
	if name == "" {
		return "", fmt.Errorf("%s of %s is not known", args[1], args[2])
	}
	ts.Setenv(args[0], name)
	return args[0] + " is " + name, nil
}

// frontOf returns the VM that sent a target's last run.
func (w *world) frontOf(id string) (string, error) {
	runs, err := w.runsOf(id)
	if err != nil || len(runs) == 0 {
		return "", fmt.Errorf("%s has run nothing: %w", id, err)
	}
	return string(runs[len(runs)-1].Front), nil
}

func commandCandidates(w *world, _ *testscript.TestScript, args []string) (string, error) {
	return "", eventually("candidates of "+args[0], func() error {
		folded, err := w.readLog()
		if err != nil {
			return err
		}
		if got := len(folded.Terms[core.FailureDomain(args[0])].Candidates); strconv.Itoa(got) != args[1] {
			return fmt.Errorf("there are %d, wanted %s", got, args[1])
		}
		return nil
	})
}

// commandHTTP sends a body to a listener of a process and checks the status:
// http METHOD ID callers|peers|operators|main PATH STATUS [BODY].
func commandHTTP(w *world, _ *testscript.TestScript, args []string) (string, error) {
	p, err := w.process(args[1])
	if err != nil {
		return "", err
	}
	address := p.address
	switch args[2] {
	case "callers":
		address = *p.callers.Load()
	case "operators":
		address = p.operators
	}
	req, err := http.NewRequest(args[0], "http://"+address+args[3], strings.NewReader(strings.Join(args[5:], " ")))
	if err != nil {
		return "", err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := w.http.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err == nil && strconv.Itoa(res.StatusCode) != args[4] {
		err = fmt.Errorf("status %d, wanted %s", res.StatusCode, args[4])
	}
	return fmt.Sprintf("%d %.200s", res.StatusCode, body), err
}

func commandFault(w *world, _ *testscript.TestScript, args []string) (string, error) {
	p, err := w.process(args[0])
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
	return "", w.call(http.MethodPut, "http://"+p.address+"/standin/faults", changes, nil)
}

func commandCold(w *world, _ *testscript.TestScript, args []string) (string, error) {
	p, err := w.process(args[0])
	if err != nil {
		return "", err
	}
	return "", w.call(http.MethodPost, "http://"+p.address+"/standin/cold", nil, nil)
}

func commandOverloads(w *world, _ *testscript.TestScript, args []string) (string, error) {
	p, err := w.process(args[0])
	if err != nil {
		return "", err
	}
	most, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	var s target.Status
	if err := w.call(http.MethodGet, "http://"+p.address+"/standin/state", nil, &s); err != nil {
		return "", err
	}
	if s.Overloads > most {
		return "", fmt.Errorf("%s was overloaded %d times while cold, at most %d are allowed", p.id, s.Overloads, most)
	}
	return fmt.Sprintf("%s was overloaded %d times while cold", p.id, s.Overloads), nil
}

func commandCut(w *world, _ *testscript.TestScript, args []string) (string, error) {
	for _, name := range args[:2] {
		if len(w.members(name)) == 0 {
			return "", fmt.Errorf("%q is neither a process nor a failure domain", name)
		}
	}
	w.cuts = append(w.cuts, [2]string{args[0], args[1]})
	return "", w.writeCuts()
}

func commandHeal(w *world, _ *testscript.TestScript, _ []string) (string, error) {
	w.cuts = nil
	return "", w.writeCuts()
}

func commandServed(w *world, _ *testscript.TestScript, args []string) (string, error) {
	began := time.Now()
	o, err := w.options(args)
	if err != nil {
		return "", err
	}
	err = w.served(o)
	return fmt.Sprintf("served after %v", time.Since(began).Round(time.Millisecond)), err
}

func commandSend(w *world, _ *testscript.TestScript, args []string) (string, error) {
	vm, err := w.process(args[0])
	if err != nil {
		return "", err
	}
	o, err := w.options(args[1:])
	if err != nil {
		return "", err
	}
	if len(o.requests) != 1 || o.want == nil {
		return "", fmt.Errorf("send needs one request and the outcomes that are wanted")
	}
	r := o.requests[0]
	if o.id != "" && w.ids[o.id] == "" {
		w.ids[o.id] = newID()
	}
	r.id, r.body = w.ids[o.id], o.body
	a := w.do(vm, w.fill(r, "k0"))
	printed := fmt.Sprintf("%s: %s %s", a.request.id, a.outcome, a.detail)
	if !slices.Contains(o.want, a.outcome) {
		return printed, fmt.Errorf("outcome is %s, wanted %v", a.outcome, o.want)
	}
	return printed, nil
}

func commandLoad(w *world, _ *testscript.TestScript, args []string) (string, error) {
	o, err := w.options(args[1:])
	if err != nil {
		return "", err
	}
	if len(o.requests) == 0 || len(o.via) == 0 || w.loads[args[0]] != nil {
		return "", fmt.Errorf("load %q needs requests, a VM and a new name", args[0])
	}
	w.loads[args[0]] = w.startLoad(o)
	return "", nil
}

func commandAwait(w *world, _ *testscript.TestScript, args []string) (string, error) {
	l := w.loads[args[0]]
	if l == nil {
		return "", fmt.Errorf("there is no load %q", args[0])
	}
	o, err := w.options(args[1:])
	if err != nil {
		return "", err
	}
	return l.await(o.want)
}

func commandPause(_ *world, _ *testscript.TestScript, args []string) (string, error) {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return "", err
}
