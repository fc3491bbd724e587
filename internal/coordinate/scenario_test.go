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

// TestScenarios guards against scripted sequences of faults that leave a range
// with two owners, or unserved for longer than the script allows.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			is.New(t).NoErr(err)
			for seed := range uint64(8) {
				c := newCluster(seed)
				for n, line := range strings.Split(string(text), "\n") {
					if err := c.command(line); err != nil {
						t.Fatalf("%s:%d: seed %d: %s: %v\n%s", file, n+1, seed, line, err, strings.Join(c.trace, "\n"))
					}
				}
				if seed == 0 {
					t.Log(strings.Join(c.trace, "\n"))
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
//	demand KEYHASH REQUESTS_PER_SECOND (a target can serve 100)
//	leave|stay|remove|drain TARGET | unchecked TARGET (before start) | domain NAME in|out|lost
//	expect served [within DURATION] | expect unserved [N]
//	expect holder DOMAIN ID | expect moves MOST | expect owners DOMAIN N
//	expect targetranges TARGET N | expect fronts VM N | expect busiest MOST
//	expect hotkeys N
//
// ID may be holder:DOMAIN, front:TARGET or log. A # starts a comment.
func (c *cluster) command(line string) error {
	line, _, _ = strings.Cut(line, "#")
	f := strings.Fields(line)
	if len(f) == 0 {
		return nil
	}
	if f[0] != "run" {
		c.tracef("> %s", line)
	}
	var err error
	switch f[0] {
	case "policy", "vm", "target", "start":
		err = c.configure(f)
	case "run":
		var d time.Duration
		d, err = time.ParseDuration(f[1])
		c.run(d)
	case "kill", "freeze", "thaw", "return":
		for _, id := range f[1:] {
			c.injectFault(f[0], c.resolve(id))
		}
	case "cut", "heal":
		for _, b := range f[2:] {
			c.partitions[[2]string{c.resolve(f[1]), c.resolve(b)}] = f[0] == "cut"
			c.partitions[[2]string{c.resolve(b), c.resolve(f[1])}] = f[0] == "cut"
		}
	case "rate":
		err = c.setRate(f[1], f[2])
	case "log":
		err = c.setLog(f[1:])
	case "demand":
		hash, _ := strconv.ParseUint(f[1], 10, 64)
		c.requestRates[hash], err = strconv.ParseFloat(f[2], 64)
	case "leavevm":
		v := c.vms[core.VM(c.resolve(f[1]))]
		v.deliver(func() { v.stepMembership(membership.Leave{}) })
	case "lose":
		c.lossRate, err = strconv.ParseFloat(f[1], 64)
	case "stall":
		c.stallRate, err = strconv.ParseFloat(f[1], 64)
	case "leave", "stay":
		c.policy.leaving[f[1]] = f[0] == "leave"
		c.appendPolicy()
	case "remove":
		c.policy.targets = slices.DeleteFunc(c.policy.targets, func(t string) bool { return strings.HasPrefix(t, f[1]+"@") })
		c.appendPolicy()
	case "unchecked":
		c.targets[core.Target(f[1])].unchecked = true
		c.policy.unchecked = map[string]bool{f[1]: true}
	case "drain":
		c.targets[core.Target(f[1])].draining = true
	case "domain":
		c.appendDomain(f[1], f[2])
	case "expect":
		err = c.expect(f[1:])
	default:
		err = fmt.Errorf("unknown command")
	}
	if len(c.violations) > 0 {
		err = fmt.Errorf("%s", c.violations[0])
	}
	return err
}

func (c *cluster) configure(f []string) error {
	switch f[0] {
	case "policy":
		for _, kv := range f[1:] {
			key, value, _ := strings.Cut(kv, "=")
			n, _ := strconv.Atoi(value)
			switch key {
			case "ranges":
				c.policy.ranges = n
			case "candidates":
				c.policy.candidates = n
			case "isolation":
				c.policy.isolation = value
			case "move_after":
				c.policy.moveAfter = value
			}
		}
	case "vm":
		for i := 1; i+1 < len(f); i += 2 {
			c.vms[core.VM(f[i])] = &simVM{cluster: c, id: core.VM(f[i]), domain: core.FailureDomain(f[i+1]), rate: 1}
		}
	case "target":
		for i := 1; i+1 < len(f); i += 2 {
			c.targets[core.Target(f[i])] = &simTarget{cluster: c, id: core.Target(f[i]), rate: 1, alive: true, incarnation: 1}
			c.policy.targets = append(c.policy.targets, f[i]+"@"+f[i+1])
			if !slices.Contains(c.policy.domains, f[i+1]) {
				c.policy.domains = append(c.policy.domains, f[i+1])
			}
		}
	case "start":
		c.policy.leaving = make(map[string]bool)
		c.appendPolicy()
		for _, id := range sortedKeys(c.vms) {
			c.vms[id].start()
		}
	}
	return nil
}

func (c *cluster) appendPolicy() {
	c.appendRecord(platformlog.Record{
		Kind: platformlog.KindPolicy, ID: fmt.Sprint("policy", len(c.log.entries)),
		Base: c.log.state.PolicyVersion, Document: c.policy.String(),
	})
}

func (c *cluster) appendDomain(name, state string) {
	c.appendRecord(platformlog.Record{
		Kind: platformlog.KindDomain, ID: fmt.Sprint("domain", len(c.log.entries)), Base: c.log.state.Delegation.Number,
		FailureDomain: core.FailureDomain(name), State: platformlog.DomainState(state),
	})
}

// resolve maps holder:DOMAIN and front:TARGET to the id of a VM.
func (c *cluster) resolve(id string) string {
	kind, name, ok := strings.Cut(id, ":")
	if !ok {
		return id
	}
	if kind == "front" {
		return string(c.targets[core.Target(name)].front)
	}
	for _, v := range c.vms {
		if v.alive && !v.suspended && string(v.domain) == name && v.coordinator.holder != nil {
			id = string(v.id)
		}
	}
	return id
}

func (c *cluster) injectFault(kind, id string) {
	c.tracef("%s %s", kind, id)
	if v := c.vms[core.VM(id)]; v != nil {
		switch kind {
		case "kill":
			v.alive = false
		case "freeze":
			v.suspended = true
		case "thaw":
			v.suspended = false
			runAll(&v.deferred)
		case "return":
			v.start()
		}
		return
	}
	t := c.targets[core.Target(id)]
	if t == nil {
		return // holder:DOMAIN while the domain has no holder
	}
	switch kind {
	case "kill":
		t.alive, t.suspended, t.deferred = false, false, nil
	case "freeze":
		t.suspended = true
	case "thaw":
		t.suspended = false
		runAll(&t.deferred)
	case "return":
		*t = simTarget{cluster: c, id: t.id, rate: t.rate, alive: true, incarnation: t.incarnation + 1, started: c.now}
	}
}

func runAll(deferred *[]func()) {
	all := *deferred
	*deferred = nil
	for _, run := range all {
		run()
	}
}

func (c *cluster) setRate(id, factor string) error {
	rate, err := strconv.ParseFloat(factor, 64)
	if v := c.vms[core.VM(id)]; v != nil {
		v.rate = rate
	} else {
		c.targets[core.Target(id)].rate = rate
	}
	return err
}

func (c *cluster) setLog(f []string) error {
	switch f[0] {
	case "up":
		c.log.down, c.log.slow = false, 0
	case "down":
		c.log.down = true
	case "slow":
		var err error
		c.log.slow, err = time.ParseDuration(f[1])
		return err
	}
	return nil
}

func (c *cluster) expect(f []string) error {
	switch f[0] {
	case "served":
		d := 10 * time.Millisecond
		if len(f) > 2 {
			d, _ = time.ParseDuration(f[2])
		}
		return c.awaitServed(d)
	case "unserved":
		if n := len(c.unserved()); n == 0 || len(f) > 1 && f[1] != strconv.Itoa(n) {
			return fmt.Errorf("%d ranges are not served", n)
		}
	case "holder":
		if got := c.resolve("holder:" + f[1]); got != f[2] {
			return fmt.Errorf("the holder is %s", got)
		}
	case "moves":
		if most, _ := strconv.Atoi(f[1]); c.moves > most {
			return fmt.Errorf("%d ranges moved", c.moves)
		}
		c.moves = 0
	case "fronts":
		n := 0
		for _, t := range c.targets {
			if t.held() && t.front == core.VM(f[1]) {
				n++
			}
		}
		if f[2] != strconv.Itoa(n) {
			return fmt.Errorf("%s fronts %d targets", f[1], n)
		}
	case "busiest", "hotkeys":
		return c.expectLoad(f)
	case "targetranges":
		if t := c.targets[core.Target(f[1])]; f[2] != strconv.Itoa(len(t.ranges)) {
			return fmt.Errorf("%s holds %d ranges", t.id, len(t.ranges))
		}
	case "owners":
		n := 0
		for _, t := range c.policy.targets {
			if id, domain, _ := strings.Cut(t, "@"); domain == f[1] && c.targets[core.Target(id)].held() {
				n += len(c.targets[core.Target(id)].ranges)
			}
		}
		if f[2] != strconv.Itoa(n) {
			return fmt.Errorf("%d ranges are held in the domain", n)
		}
	default:
		return fmt.Errorf("unknown expectation")
	}
	return nil
}

func (c *cluster) awaitServed(d time.Duration) error {
	startedAt := c.now
	for len(c.unserved()) > 0 && len(c.violations) == 0 {
		if c.now.Sub(startedAt) >= d {
			c.traceHolders()
			return fmt.Errorf("not served after %v: %s", d, strings.Join(c.unserved(), " "))
		}
		c.run(10 * time.Millisecond)
	}
	c.tracef("all ranges are served after %v", c.now.Sub(startedAt))
	return nil
}

// expectLoad checks the load of the busiest target or the number of hot keys.
func (c *cluster) expectLoad(f []string) error {
	hot := make(map[uint64]core.Target)
	for id, t := range c.targets {
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
	for id, t := range c.targets {
		var sum float64
		for hash, rate := range c.requestRates {
			at, ok := hot[hash]
			if ok && at == id || !ok && slices.Contains(t.ranges, core.RangeOf("s", hash, uint32(c.policy.ranges))) {
				sum += rate
			}
		}
		if sum > most {
			return fmt.Errorf("%s has %.0f requests a second", id, sum)
		}
	}
	return nil
}

// traceHolders writes the state of holders and targets to the trace.
func (c *cluster) traceHolders() {
	for _, id := range sortedKeys(c.vms) {
		if v := c.vms[id]; v.alive && v.coordinator.holder != nil {
			s := v.coordinator.status(v.clock())
			c.tracef("%s holds: keep %t move %t map %s moves %v promises %v", id, s.Keep, s.Move, s.MapVersion, s.MovesPending, s.PromisesMS)
			for _, t := range s.Targets {
				c.tracef("%+v", t)
			}
			c.tracef("%+v", s.Ranges)
		}
	}
	for _, id := range sortedKeys(c.targets) {
		t := c.targets[id]
		c.tracef("%s: alive %t front %s token %s held %t incarnation %d ranges %v", id, t.alive, t.front, t.token, t.held(), t.incarnation, t.ranges)
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
