package membership

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// listInterval is the pause between looks at the platform's list.
const listInterval = time.Second

// farInterval is the pause between heartbeats to VMs of other failure domains.
const farInterval = 500 * time.Millisecond

// forgetAfter is how long a VM that is neither heard nor listed is still sent
// heartbeats. At the target size 850 VMs a day are replaced, many under new ids.
const forgetAfter = 10 * time.Minute

// Message is what membership takes.
type Message interface {
	isMembershipMessage()
	MetricName() string
}

type (
	// Tick lets membership look at its timers.
	Tick struct{}
	// Heard is a heartbeat or the answer to one.
	Heard struct {
		Info Info
		// Reply, if set, receives this VM's own info; it has room for it.
		Reply chan<- Info
	}
	// Versions says which versions this VM holds now.
	Versions struct {
		LogOffset uint64
		Maps      map[core.FailureDomain]core.Token
	}
	// Silent says that a heartbeat got no answer.
	Silent struct{ VM core.VM }
	// Listed is the platform's list of VMs.
	Listed struct{ VMs []Info }
	// Leave makes this VM announce that it is leaving.
	Leave struct{}
)

func (Tick) isMembershipMessage()     {}
func (Heard) isMembershipMessage()    {}
func (Versions) isMembershipMessage() {}
func (Silent) isMembershipMessage()   {}
func (Listed) isMembershipMessage()   {}
func (Leave) isMembershipMessage()    {}

// Info is what a VM says of itself.
type Info struct {
	VM            core.VM
	FailureDomain core.FailureDomain
	Address       string
	Incarnation   uint64
	Leaving       bool
	// Capacity is the VM's weight among the VMs of its failure domain.
	Capacity uint32
	// LogOffset and Maps are the versions that the VM holds.
	LogOffset uint64
	Maps      map[core.FailureDomain]core.Token
}

// Member is a VM as this VM sees it.
type Member struct {
	Info
	Live bool
}

// View is the state of all known VMs. It is never changed once handed out.
type View struct {
	Self    Info
	Members map[core.VM]Member
}

// Live returns the live VMs of a failure domain, this VM included, sorted.
func (v View) Live(d core.FailureDomain) []core.VM {
	var live []core.VM
	for id, m := range v.Members {
		if m.Live && m.FailureDomain == d {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// Output is what membership asks for.
type Output interface {
	isMembershipOutput()
	MetricName() string
}

type (
	// Send asks for a heartbeat to a VM; its answer comes back as Heard.
	Send struct {
		VM      core.VM
		Address string
		Info    Info
	}
	// List asks for the platform's list; it comes back as Listed.
	List struct{}
	// Reply asks for this VM's info to be handed to whoever sent a heartbeat.
	Reply struct {
		To   chan<- Info
		Info Info
	}
	// Changed hands out the view after a change.
	Changed struct{ View View }
	// Behind says that another VM holds newer versions than this one.
	Behind struct {
		VM      core.VM
		Address string
		Self    Info
	}
)

func (Send) isMembershipOutput()    {}
func (List) isMembershipOutput()    {}
func (Reply) isMembershipOutput()   {}
func (Changed) isMembershipOutput() {}
func (Behind) isMembershipOutput()  {}

// Membership is the step of the duty.
type Membership struct {
	self    Info
	members map[core.VM]*member
	dirty   bool
	listAt  core.Instant
}

type member struct {
	info   Info
	heard  core.Instant
	live   bool
	sentAt core.Instant
	sent   bool
	// known is when the VM was last alive or on the platform's list.
	known core.Instant
}

// New returns the membership of a VM that knows some others' addresses.
func New(self Info, seeds []Info) *Membership {
	m := &Membership{self: self, members: make(map[core.VM]*member), dirty: true}
	for _, s := range seeds {
		m.members[s.VM] = &member{info: s}
	}
	delete(m.members, self.VM)
	return m
}

// Step implements duty.Step.
func (s *Membership) Step(now core.Instant, m Message) []Output {
	var out []Output
	switch m := m.(type) {
	case Tick, Silent:
	case Heard:
		out = s.stepHeard(now, m)
	case Versions:
		s.self.LogOffset, s.self.Maps = m.LogOffset, m.Maps
	case Listed:
		s.stepListed(now, m)
	case Leave:
		s.self.Leaving = true
		s.dirty = true
	}
	out = append(out, s.timers(now)...)
	if s.dirty {
		s.dirty = false
		out = append(out, Changed{View: s.view()})
	}
	return out
}

func (s *Membership) stepHeard(now core.Instant, h Heard) []Output {
	var out []Output
	if h.Reply != nil {
		out = append(out, Reply{To: h.Reply, Info: s.self})
	}
	info := h.Info
	if info.VM == s.self.VM {
		return out
	}
	m := s.members[info.VM]
	if m == nil {
		m = &member{}
		s.members[info.VM] = m
	}
	if !m.live || m.info.Address != info.Address || m.info.Leaving != info.Leaving ||
		m.info.Incarnation != info.Incarnation || m.info.Capacity != info.Capacity {
		s.dirty = true
	}
	m.info, m.heard, m.live = info, now, true
	if s.self.olderThan(info) {
		out = append(out, Behind{VM: info.VM, Address: info.Address, Self: s.self})
	}
	return out
}

// stepListed adds the VMs that the platform lists and forgets those that it has
// not listed, and that have not been heard, for long.
func (s *Membership) stepListed(now core.Instant, m Listed) {
	listed := make(map[core.VM]bool, len(m.VMs))
	for _, info := range m.VMs {
		listed[info.VM] = true
		if s.members[info.VM] == nil && info.VM != s.self.VM {
			s.members[info.VM] = &member{info: info, known: now}
		}
	}
	for id, other := range s.members {
		if listed[id] || other.live {
			other.known = now
		}
		if now.Sub(other.known) > forgetAfter {
			delete(s.members, id)
			s.dirty = true
		}
	}
}

// olderThan reports whether the other VM holds something newer.
func (i Info) olderThan(other Info) bool {
	if i.LogOffset < other.LogOffset {
		return true
	}
	for d, v := range other.Maps {
		if i.Maps[d].Less(v) {
			return true
		}
	}
	return false
}

func (s *Membership) timers(now core.Instant) []Output {
	var out []Output
	if !now.Before(s.listAt) {
		s.listAt = now.Add(listInterval)
		out = append(out, List{})
	}
	for _, id := range s.sorted() {
		m := s.members[id]
		interval, timeout := core.HeartbeatInterval, core.HeartbeatTimeout
		if m.info.FailureDomain != s.self.FailureDomain {
			interval, timeout = farInterval, 3*farInterval
		}
		if m.live && now.Sub(m.heard) > timeout {
			m.live = false
			s.dirty = true
		}
		if !m.sent || now.Sub(m.sentAt) >= interval {
			m.sent, m.sentAt = true, now
			out = append(out, Send{VM: id, Address: m.info.Address, Info: s.self})
		}
	}
	return out
}

func (s *Membership) sorted() []core.VM {
	ids := make([]core.VM, 0, len(s.members))
	for id := range s.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *Membership) view() View {
	v := View{Self: s.self, Members: make(map[core.VM]Member, len(s.members)+1)}
	v.Members[s.self.VM] = Member{Info: s.self, Live: true}
	for id, m := range s.members {
		v.Members[id] = Member{Info: m.info, Live: m.live}
	}
	return v
}
