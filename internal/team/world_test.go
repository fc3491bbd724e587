package team

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/roster"
)

const worldStart = core.Instant(time.Hour)

var testLimits = Limits{Window: 5 * time.Second, Overrun: 0.1, Slack: 20, Apply: 2500 * time.Millisecond}

// world is a deployment with a store, on a virtual clock. All its choices follow from
// the seed.
type world struct {
	t      *testing.T
	random *rand.Rand
	now    core.Instant
	events events
	seq    int
	vms    []*worldVM
	store  struct {
		down     bool
		slow     bool
		group    int // the partition that reaches the store
		leader   leaderID
		previous leaderID
		next     int64
		renewed  core.Instant
		seen     map[string]core.Instant
	}
	versions []worldConfig
	sent     map[string][]core.Instant
	verdicts map[string]*[3]int
	retries  []time.Duration
	// judge is set once verdicts count. calls and checks count the calls of accounts and
	// the questions to a majority.
	judge         bool
	calls, checks int
	// calm is set if no message is delayed for long.
	calm bool
	// waiting holds what to do with verdicts.
	waiting map[chan<- Verdict]func(Verdict)
}

type worldConfig struct {
	teams []Team
	at    core.Instant
}

type leaderID struct {
	vm          string
	incarnation int
}

type worldVM struct {
	name        string
	incarnation int
	up          bool
	suspended   bool
	group       int
	deferred    []func()
	holder      *Holder
	account     *Account
	leader      leaderID
	next        int64
	asOf        core.Instant
	version     int
}

type event struct {
	at  core.Instant
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newWorld(t *testing.T, seed uint64, vms int, teams ...Team) *world {
	t.Logf("seed %d", seed)
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: worldStart,
		sent: make(map[string][]core.Instant), verdicts: make(map[string]*[3]int),
		waiting: make(map[chan<- Verdict]func(Verdict)),
	}
	w.store.seen = make(map[string]core.Instant)
	w.configure(teams...)
	for range vms {
		w.add()
	}
	w.every(100*time.Millisecond, w.elect)
	return w
}

func (w *world) configure(teams ...Team) {
	w.versions = append(w.versions, worldConfig{teams: teams, at: w.now})
}

func (w *world) at(t core.Instant, run func()) {
	w.seq++
	heap.Push(&w.events, event{at: t, seq: w.seq, run: run})
}

func (w *world) after(d time.Duration, run func()) { w.at(w.now.Add(d), run) }

func (w *world) every(d time.Duration, run func()) {
	w.after(d, func() {
		run()
		w.every(d, run)
	})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// delay returns the time of a message in transit: mostly short, sometimes long.
func (w *world) delay() time.Duration {
	if !w.calm && w.random.IntN(200) == 0 {
		return w.between(50*time.Millisecond, 400*time.Millisecond)
	}
	return w.between(200*time.Microsecond, 5*time.Millisecond)
}

// on runs something at a VM: at once, when it resumes, or never if the process ended.
func (w *world) on(v *worldVM, incarnation int, run func()) {
	switch {
	case !v.up || v.incarnation != incarnation:
	case v.suspended:
		v.deferred = append(v.deferred, run)
	default:
		run()
	}
}

func (w *world) add() *worldVM {
	v := &worldVM{name: fmt.Sprint("v", len(w.vms))}
	w.vms = append(w.vms, v)
	w.start(v)
	return v
}

// start starts a process of the VM.
func (w *world) start(v *worldVM) {
	v.incarnation++
	v.up, v.suspended, v.deferred = true, false, nil
	v.holder, v.account = NewHolder(testLimits, w.now), NewAccount(testLimits, true)
	v.leader, v.next, v.version = leaderID{}, 0, 0
	i := v.incarnation
	var tick, read func()
	tick = func() {
		w.on(v, i, func() { w.holder(v, Tick{}); w.accountStep(v, Tick{}) })
		if v.incarnation == i && v.up {
			w.after(50*time.Millisecond, tick)
		}
	}
	read = func() {
		w.on(v, i, func() { w.read(v) })
		if v.incarnation == i && v.up {
			w.after(w.between(200*time.Millisecond, 900*time.Millisecond), read)
		}
	}
	w.after(w.between(0, 50*time.Millisecond), tick)
	w.after(w.between(0, 50*time.Millisecond), read)
}

func (w *world) reachesStore(v *worldVM) bool { return !w.store.down && v.group == w.store.group }

// read reads the store. The result arrives later.
func (w *world) read(v *worldVM) {
	if !w.reachesStore(v) {
		w.follow(v)
		return
	}
	w.store.seen[v.name] = w.now
	asOf, next, leader, version, i := w.now, w.store.next, w.store.leader, len(w.versions), v.incarnation
	r := roster.New(roster.Member{VM: core.VM(v.name)})
	for _, o := range w.vms {
		if at, ok := w.store.seen[o.name]; ok && w.now.Sub(at) < roster.RecordTTL {
			r.Renew(w.now, roster.Member{VM: core.VM(o.name)})
		}
	}
	view := r.View()
	longest := 300 * time.Millisecond
	if w.store.slow {
		longest = 4 * time.Second
	}
	w.after(w.between(0, longest), func() {
		w.on(v, i, func() {
			if next < v.next {
				return
			}
			v.next, v.leader = next, leader
			w.accountStep(v, LedgerRead{
				Leading: leader == leaderID{v.name, i}, NoLeader: leader == leaderID{}, Next: next, Era: next >> 40, AsOf: asOf,
			})
			v.asOf = asOf
			for ; v.version < version; v.version++ {
				m := ConfigChanged{Version: int64(v.version + 1), Teams: w.versions[v.version].teams}
				w.holder(v, m)
				w.accountStep(v, m)
			}
			w.holder(v, ConfigRead{AsOf: asOf})
			w.holder(v, MembersChanged{View: view})
			w.accountStep(v, MembersChanged{View: view})
			w.accountStep(v, MembersRead{AsOf: asOf})
		})
	})
}

// follow reads the copy of another VM.
func (w *world) follow(v *worldVM) {
	from := w.vms[w.random.IntN(len(w.vms))]
	if !from.up || from.suspended || from.next <= v.next || !w.connected(v, from) {
		return
	}
	v.next, v.leader, v.asOf = from.next, from.leader, from.asOf
	w.accountStep(v, LedgerRead{
		Leading: v.leader == leaderID{v.name, v.incarnation}, NoLeader: v.leader == leaderID{}, Next: v.next, Era: v.next >> 40, AsOf: v.asOf,
	})
}

// elect renews the leadership, or lets another VM take it over.
func (w *world) elect() {
	for _, v := range w.vms {
		alive := v.up && !v.suspended && w.reachesStore(v)
		if alive && w.store.leader == (leaderID{v.name, v.incarnation}) {
			if w.now.Sub(w.store.renewed) >= time.Second {
				w.store.renewed = w.now
				w.store.next++
			}
			return
		}
	}
	if w.now.Sub(w.store.renewed) < 2500*time.Millisecond && w.store.next > 0 {
		return
	}
	for _, k := range w.random.Perm(len(w.vms)) {
		if v := w.vms[k]; v.up && !v.suspended && w.reachesStore(v) {
			w.store.previous, w.store.leader = w.store.leader, leaderID{v.name, v.incarnation}
			w.store.next++
			w.store.renewed = w.now
			return
		}
	}
}

func (w *world) find(name string) *worldVM {
	for _, v := range w.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

// connected reports whether a message between two VMs arrives.
func (w *world) connected(a, b *worldVM) bool { return a.group == b.group }

func (w *world) holder(v *worldVM, m Message) {
	for _, o := range v.holder.Step(w.now, m) {
		switch o := o.(type) {
		case TakeReply:
			decided := w.waiting[o.To]
			delete(w.waiting, o.To)
			w.after(0, func() { decided(o.Verdict) })
		case Ask:
			w.ask(v, o)
		}
	}
}

// ask carries an Ask to the leader that the VM knows, and a reply back.
func (w *world) ask(v *worldVM, o Ask) {
	w.calls++
	i := v.incarnation
	w.after(250*time.Millisecond, func() { w.on(v, i, func() { w.holder(v, AskDone{Seq: o.Seq, Failed: true}) }) })
	to := w.find(v.leader.vm)
	if to == nil || !w.connected(v, to) {
		return
	}
	target := to.incarnation
	w.after(w.delay(), func() {
		w.on(to, target, func() {
			reply := make(chan AskReply, 1)
			w.accountStep(to, Ask{Items: o.Items, VMs: o.VMs, Reply: reply})
			r := <-reply
			if w.connected(v, to) {
				w.after(w.delay(), func() { w.on(v, i, func() { w.holder(v, AskDone{Seq: o.Seq, Reply: r}) }) })
			}
		})
	})
}

func (w *world) accountStep(v *worldVM, m Message) {
	for _, o := range v.account.Step(w.now, m) {
		switch o := o.(type) {
		case SendReply:
			o.To <- o.Reply
		case CheckQuorum:
			w.checkQuorum(v, o)
		}
	}
}

func (w *world) checkQuorum(v *worldVM, o CheckQuorum) {
	w.checks++
	started, i := w.now, v.incarnation
	result := &QuorumResult{Started: started, Next: o.Next}
	for _, m := range o.Members {
		to := w.find(string(m.VM))
		if to == v || !w.connected(v, to) {
			continue
		}
		target := to.incarnation
		w.after(w.delay(), func() {
			w.on(to, target, func() {
				newer := to.next >= o.Next+1
				known := to.next > 0
				w.after(w.delay(), func() {
					switch {
					case !w.connected(v, to) || w.now.Sub(started) > 400*time.Millisecond:
					case newer:
						result.Newer++
					case known:
						result.Agreeing++
					}
				})
			})
		})
	}
	w.after(401*time.Millisecond, func() { w.on(v, i, func() { w.accountStep(v, *result) }) })
}

// load lets callers send requests of a team to some VMs at a rate.
func (w *world) load(team string, perSecond float64, to ...int) {
	var next func()
	next = func() {
		w.request(w.vms[to[w.random.IntN(len(to))]], team)
		w.after(seconds(w.random.ExpFloat64()/perSecond), next)
	}
	next()
}

func (w *world) all() []int {
	out := make([]int, len(w.vms))
	for i := range out {
		out[i] = i
	}
	return out
}

// request handles a caller's request as the request path does.
func (w *world) request(v *worldVM, team string) {
	if v.up && !v.suspended && v.version > 0 {
		w.take(v, v.incarnation, team, w.now.Add(400*time.Millisecond))
	}
}

func (w *world) take(v *worldVM, i int, name string, until core.Instant) {
	w.takeFor(v, name, until, func(verdict Verdict) { w.decided(v, i, name, until, verdict) })
}

// send takes a permit for a request and sends it at once.
func (w *world) send(v *worldVM, name string, done func(Verdict)) {
	w.takeFor(v, name, w.now.Add(400*time.Millisecond), done)
}

func (w *world) takeFor(v *worldVM, name string, until core.Instant, done func(Verdict)) {
	config := w.versions[v.version-1]
	k := slices.IndexFunc(config.teams, func(t Team) bool { return t.Name == name })
	if k < 0 {
		return
	}
	reply := make(chan<- Verdict, 1)
	w.waiting[reply] = done
	w.holder(v, Take{Team: &config.teams[k], Version: int64(v.version), Until: until, Reply: reply})
}

// decided sends a request with a permit after a while, if the permit is still valid,
// or rejects it for another reason.
func (w *world) decided(v *worldVM, i int, name string, until core.Instant, verdict Verdict) {
	count := w.verdicts[name]
	if count == nil {
		count = new([3]int)
		w.verdicts[name] = count
	}
	if verdict.Outcome != Admitted {
		if w.judge {
			count[verdict.Outcome]++
			w.retries = append(w.retries, verdict.RetryAfter)
		}
		return
	}
	wait := w.between(0, 2*time.Millisecond)
	if w.random.IntN(50) == 0 {
		wait = w.between(0, 700*time.Millisecond)
	}
	w.after(wait, func() {
		w.on(v, i, func() {
			switch {
			case w.random.IntN(20) == 0:
				w.holder(v, GiveBack{Permit: verdict.Permit})
			case verdict.Permit.Expires != 0 && !w.now.Before(verdict.Permit.Expires):
				w.holder(v, GiveBack{Permit: verdict.Permit})
				w.take(v, i, name, max(until, w.now.Add(100*time.Millisecond)))
			default:
				if w.judge {
					count[Admitted]++
				}
				w.sent[name] = append(w.sent[name], w.now.Add(w.between(0, 20*time.Millisecond)))
			}
		})
	})
}

// check checks the bound of a quota in each window that begins after a time.
func (w *world) check(from core.Instant, teams ...Team) {
	w.t.Helper()
	for _, t := range teams {
		bound := (t.Rate*testLimits.Window.Seconds()+t.Burst)*(1+testLimits.Overrun) + testLimits.Slack
		times := slices.Sorted(slices.Values(w.sent[t.Name]))
		first := 0
		most := 0
		for i, at := range times {
			for times[first] < from || at.Sub(times[first]) >= testLimits.Window {
				if first++; first > i {
					break
				}
			}
			if most = max(most, i-first+1); float64(i-first+1) > bound {
				w.t.Fatalf("team %s: %d requests in the window that ends %v after the start, %v allowed", t.Name, i-first+1, at.Sub(worldStart), bound)
			}
		}
		w.t.Logf("team %s: %d sent, at most %d in a window, %.0f allowed", t.Name, len(times), most, bound)
	}
}
