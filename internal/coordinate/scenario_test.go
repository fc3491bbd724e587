package coordinate

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/platformlog"
)

// TestScenarios guards against each scripted sequence of faults leaving two
// owners of a range, or a range unserved for longer than the script allows.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			is.New(t).NoErr(err)
			for seed := range uint64(8) {
				w := newWorld(seed)
				for n, line := range strings.Split(string(text), "\n") {
					if err := w.command(line); err != nil {
						t.Fatalf("%s:%d: seed %d: %s: %v\n%s", file, n+1, seed, line, err, strings.Join(w.trace, "\n"))
					}
				}
				if seed == 0 {
					t.Log(strings.Join(w.trace, "\n"))
				}
			}
		})
	}
}

// command runs one line of a scenario:
//
//	policy ranges=12 candidates=2 isolation=keep move_after=10s
//	vm ID DOMAIN ... | target ID DOMAIN ... | start | run DURATION
//	kill|freeze|thaw|return ID ... | cut|heal ID ID | rate ID FACTOR
//	log up|down|slow DURATION | lose SHARE | stall SHARE | leavevm VM
//	demand KEYHASH REQUESTS_PER_SECOND (a target can run 100)
//	leave|stay|remove|drain TARGET | unchecked TARGET (before start) | domain NAME in|out|lost
//	expect served [within DURATION] | expect unserved [N]
//	expect holder DOMAIN ID | expect moves MOST | expect owners DOMAIN N
//	expect targetranges TARGET N | expect fronts VM N | expect busiest MOST
//	expect hotkeys N
//
// ID may be holder:DOMAIN, front:TARGET or log. A # begins a comment.
func (w *world) command(line string) error {
	line, _, _ = strings.Cut(line, "#")
	f := strings.Fields(line)
	if len(f) == 0 {
		return nil
	}
	if f[0] != "run" {
		w.note("> %s", line)
	}
	var err error
	switch f[0] {
	case "policy", "vm", "target", "start":
		err = w.setUp(f)
	case "run":
		var d time.Duration
		d, err = time.ParseDuration(f[1])
		w.run(d)
	case "kill", "freeze", "thaw", "return":
		for _, id := range f[1:] {
			w.fault(f[0], w.resolve(id))
		}
	case "cut", "heal":
		for _, b := range f[2:] {
			w.cuts[[2]string{w.resolve(f[1]), w.resolve(b)}] = f[0] == "cut"
			w.cuts[[2]string{w.resolve(b), w.resolve(f[1])}] = f[0] == "cut"
		}
	case "rate":
		err = w.setRate(f[1], f[2])
	case "log":
		err = w.setLog(f[1:])
	case "demand":
		hash, _ := strconv.ParseUint(f[1], 10, 64)
		w.demand[hash], err = strconv.ParseFloat(f[2], 64)
	case "leavevm":
		v := w.vms[core.VM(w.resolve(f[1]))]
		v.do(func() { v.stepMembers(membership.Leave{}) })
	case "lose":
		w.lose, err = strconv.ParseFloat(f[1], 64)
	case "stall":
		w.stall, err = strconv.ParseFloat(f[1], 64)
	case "leave", "stay":
		w.document.leaving[f[1]] = f[0] == "leave"
		w.submit()
	case "remove":
		w.document.targets = slices.DeleteFunc(w.document.targets, func(t string) bool { return strings.HasPrefix(t, f[1]+"@") })
		w.submit()
	case "unchecked":
		w.targets[core.Target(f[1])].unchecked = true
		w.document.unchecked = map[string]bool{f[1]: true}
	case "drain":
		w.targets[core.Target(f[1])].draining = true
	case "domain":
		w.appendDomain(f[1], f[2])
	case "expect":
		err = w.expect(f[1:])
	default:
		err = fmt.Errorf("unknown command")
	}
	if len(w.faults) > 0 {
		err = fmt.Errorf("%s", w.faults[0])
	}
	return err
}

func (w *world) setUp(f []string) error {
	switch f[0] {
	case "policy":
		for _, kv := range f[1:] {
			key, value, _ := strings.Cut(kv, "=")
			n, _ := strconv.Atoi(value)
			switch key {
			case "ranges":
				w.document.ranges = n
			case "candidates":
				w.document.candidates = n
			case "isolation":
				w.document.isolation = value
			case "move_after":
				w.document.moveAfter = value
			}
		}
	case "vm":
		for i := 1; i+1 < len(f); i += 2 {
			w.vms[core.VM(f[i])] = &simVM{w: w, id: core.VM(f[i]), domain: core.FailureDomain(f[i+1]), rate: 1}
		}
	case "target":
		for i := 1; i+1 < len(f); i += 2 {
			w.targets[core.Target(f[i])] = &simTarget{w: w, id: core.Target(f[i]), rate: 1, alive: true, incarnation: 1}
			w.document.targets = append(w.document.targets, f[i]+"@"+f[i+1])
			if !slices.Contains(w.document.domains, f[i+1]) {
				w.document.domains = append(w.document.domains, f[i+1])
			}
		}
	case "start":
		w.document.leaving = make(map[string]bool)
		w.submit()
		for _, id := range sortedKeys(w.vms) {
			w.vms[id].start()
		}
	}
	return nil
}

func (w *world) submit() {
	w.appendRecord(platformlog.Record{
		Kind: platformlog.KindPolicy, ID: fmt.Sprint("policy", len(w.log.entries)),
		Base: w.log.folded.PolicyVersion, Document: w.document.String(),
	})
}

func (w *world) appendDomain(name, state string) {
	w.appendRecord(platformlog.Record{
		Kind: platformlog.KindDomain, ID: fmt.Sprint("domain", len(w.log.entries)), Base: w.log.folded.Delegation.Number,
		FailureDomain: core.FailureDomain(name), State: platformlog.DomainState(state),
	})
}

// resolve turns holder:DOMAIN and front:TARGET into the id of a VM.
func (w *world) resolve(id string) string {
	kind, name, ok := strings.Cut(id, ":")
	if !ok {
		return id
	}
	if kind == "front" {
		return string(w.targets[core.Target(name)].front)
	}
	for _, v := range w.vms {
		if v.alive && !v.frozen && string(v.domain) == name && v.coordinator.holder != nil {
			id = string(v.id)
		}
	}
	return id
}

func (w *world) fault(kind, id string) {
	w.note("%s %s", kind, id)
	if v := w.vms[core.VM(id)]; v != nil {
		switch kind {
		case "kill":
			v.alive = false
		case "freeze":
			v.frozen = true
		case "thaw":
			v.frozen = false
			runAll(&v.deferred)
		case "return":
			v.start()
		}
		return
	}
	t := w.targets[core.Target(id)]
	if t == nil {
		return // holder:DOMAIN while there is none
	}
	switch kind {
	case "kill":
		t.alive, t.frozen, t.deferred = false, false, nil
	case "freeze":
		t.frozen = true
	case "thaw":
		t.frozen = false
		runAll(&t.deferred)
	case "return":
		*t = simTarget{w: w, id: t.id, rate: t.rate, alive: true, incarnation: t.incarnation + 1, started: w.now}
	}
}

func runAll(deferred *[]func()) {
	all := *deferred
	*deferred = nil
	for _, run := range all {
		run()
	}
}

func (w *world) setRate(id, factor string) error {
	rate, err := strconv.ParseFloat(factor, 64)
	if v := w.vms[core.VM(id)]; v != nil {
		v.rate = rate
	} else {
		w.targets[core.Target(id)].rate = rate
	}
	return err
}

func (w *world) setLog(f []string) error {
	switch f[0] {
	case "up":
		w.log.down, w.log.slow = false, 0
	case "down":
		w.log.down = true
	case "slow":
		var err error
		w.log.slow, err = time.ParseDuration(f[1])
		return err
	}
	return nil
}

func (w *world) expect(f []string) error {
	switch f[0] {
	case "served":
		d := 10 * time.Millisecond
		if len(f) > 2 {
			d, _ = time.ParseDuration(f[2])
		}
		return w.awaitServed(d)
	case "unserved":
		if n := len(w.unserved()); n == 0 || len(f) > 1 && f[1] != strconv.Itoa(n) {
			return fmt.Errorf("%d ranges are not served", n)
		}
	case "holder":
		if got := w.resolve("holder:" + f[1]); got != f[2] {
			return fmt.Errorf("the holder is %s", got)
		}
	case "moves":
		if most, _ := strconv.Atoi(f[1]); w.moves > most {
			return fmt.Errorf("%d ranges moved", w.moves)
		}
		w.moves = 0
	case "fronts":
		n := 0
		for _, t := range w.targets {
			if t.held() && t.front == core.VM(f[1]) {
				n++
			}
		}
		if f[2] != strconv.Itoa(n) {
			return fmt.Errorf("%s fronts %d targets", f[1], n)
		}
	case "busiest", "hotkeys":
		return w.expectLoad(f)
	case "targetranges":
		if t := w.targets[core.Target(f[1])]; f[2] != strconv.Itoa(len(t.ranges)) {
			return fmt.Errorf("%s holds %d ranges", t.id, len(t.ranges))
		}
	case "owners":
		n := 0
		for _, t := range w.document.targets {
			if id, domain, _ := strings.Cut(t, "@"); domain == f[1] && w.targets[core.Target(id)].held() {
				n += len(w.targets[core.Target(id)].ranges)
			}
		}
		if f[2] != strconv.Itoa(n) {
			return fmt.Errorf("%d ranges are held there", n)
		}
	default:
		return fmt.Errorf("unknown expectation")
	}
	return nil
}

func (w *world) awaitServed(d time.Duration) error {
	began := w.now
	for len(w.unserved()) > 0 && len(w.faults) == 0 {
		if w.now.Sub(began) >= d {
			w.noteHolders()
			return fmt.Errorf("not served after %v: %s", d, strings.Join(w.unserved(), " "))
		}
		w.run(10 * time.Millisecond)
	}
	w.note("all ranges are served after %v", w.now.Sub(began))
	return nil
}

// expectLoad checks the load of the busiest target or the number of hot keys.
func (w *world) expectLoad(f []string) error {
	hot := make(map[uint64]core.Target)
	for id, t := range w.targets {
		for _, r := range t.ranges {
			if t.held() && r.HotKey != 0 {
				hot[r.HotKey] = id
			}
		}
	}
	if f[0] == "hotkeys" {
		if f[1] != strconv.Itoa(len(hot)) {
			return fmt.Errorf("%d hot keys", len(hot))
		}
		return nil
	}
	most, _ := strconv.ParseFloat(f[1], 64)
	for id, t := range w.targets {
		var sum float64
		for hash, rate := range w.demand {
			at, ok := hot[hash]
			if ok && at == id || !ok && slices.Contains(t.ranges, core.RangeOf("s", hash, uint32(w.document.ranges))) {
				sum += rate
			}
		}
		if sum > most {
			return fmt.Errorf("%s has %.0f requests a second", id, sum)
		}
	}
	return nil
}

// noteHolders adds what holders and targets know to the trace.
func (w *world) noteHolders() {
	for _, id := range sortedKeys(w.vms) {
		if v := w.vms[id]; v.alive && v.coordinator.holder != nil {
			s := v.coordinator.status(v.clock())
			w.note("%s holds: keep %t move %t map %s moves %v promises %v", id, s.Keep, s.Move, s.MapVersion, s.MovesPending, s.PromisesMS)
			for _, t := range s.Targets {
				w.note("%+v", t)
			}
			w.note("%+v", s.Ranges)
		}
	}
	for _, id := range sortedKeys(w.targets) {
		t := w.targets[id]
		w.note("%s: alive %t front %s token %s held %t incarnation %d ranges %v", id, t.alive, t.front, t.token, t.held(), t.incarnation, t.ranges)
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
