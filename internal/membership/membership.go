package membership

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// listInterval is the time between reads of the platform's list.
const listInterval = time.Second

// remoteHeartbeatInterval is the time between heartbeats to a VM of another
// failure domain.
const remoteHeartbeatInterval = 500 * time.Millisecond

// removeAfter is how long a VM that is neither live nor listed is still sent
// heartbeats. At the size that the design assumes, 850 VMs a day are
// replaced, many under new ids.
const removeAfter = 10 * time.Minute

// Message is an input of the membership duty.
type Message interface {
	isMembershipMessage()
	MetricName() string
}

type (
	// Tick makes the duty check its timers.
	Tick struct{}
	// HeartbeatReceived is a heartbeat or the reply to one.
	HeartbeatReceived struct {
		Info Info
		// Reply, if set, receives this VM's own info; it must be buffered.
		Reply chan<- Info
	}
	// VersionsChanged contains the versions that this VM holds.
	VersionsChanged struct {
		LogOffset uint64
		Maps      map[core.FailureDomain]core.Token
	}
	// HeartbeatFailed says that a heartbeat got no reply.
	HeartbeatFailed struct{ VM core.VM }
	// VMsListed is the platform's list of VMs.
	VMsListed struct{ VMs []Info }
	// Leave makes this VM announce that it is leaving.
	Leave struct{}
)

func (Tick) isMembershipMessage()              {}
func (HeartbeatReceived) isMembershipMessage() {}
func (VersionsChanged) isMembershipMessage()   {}
func (HeartbeatFailed) isMembershipMessage()   {}
func (VMsListed) isMembershipMessage()         {}
func (Leave) isMembershipMessage()             {}

// Info is the state of a VM as published by itself.
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

// Member is a VM as seen by this VM.
type Member struct {
	Info
	Live bool
}

// View is the state of all known VMs. It is immutable once published.
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

// Output is an action that the membership duty requests.
type Output interface {
	isMembershipOutput()
	MetricName() string
}

type (
	// SendHeartbeat sends a heartbeat to a VM; the reply comes back as a
	// HeartbeatReceived.
	SendHeartbeat struct {
		VM      core.VM
		Address string
		Info    Info
	}
	// ListVMs reads the platform's list of VMs; it comes back as VMsListed.
	ListVMs struct{}
	// SendHeartbeatReply sends this VM's info to the sender of a heartbeat.
	SendHeartbeatReply struct {
		To   chan<- Info
		Info Info
	}
	// Changed publishes the view after a change.
	Changed struct{ View View }
	// NewerStateFound says that another VM holds newer versions than this one,
	// whose Info is Self.
	NewerStateFound struct {
		VM      core.VM
		Address string
		Self    Info
	}
)

func (SendHeartbeat) isMembershipOutput()      {}
func (ListVMs) isMembershipOutput()            {}
func (SendHeartbeatReply) isMembershipOutput() {}
func (Changed) isMembershipOutput()            {}
func (NewerStateFound) isMembershipOutput()    {}

// Membership is the state machine of the duty.
type Membership struct {
	self        Info
	members     map[core.VM]*member
	viewChanged bool
	listAt      core.Instant
}

type member struct {
	info        Info
	heartbeatAt core.Instant
	live        bool
	sentAt      core.Instant
	sent        bool
	// knownAt is when the VM was last live or on the platform's list.
	knownAt core.Instant
}

// New returns the membership of a VM. Seeds are other VMs with their addresses.
func New(self Info, seeds []Info) *Membership {
	m := &Membership{self: self, members: make(map[core.VM]*member), viewChanged: true}
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
	case Tick, HeartbeatFailed:
	case HeartbeatReceived:
		out = s.stepHeartbeat(now, m)
	case VersionsChanged:
		s.self.LogOffset, s.self.Maps = m.LogOffset, m.Maps
	case VMsListed:
		s.stepVMsListed(now, m)
	case Leave:
		s.self.Leaving = true
		s.viewChanged = true
	}
	out = append(out, s.stepTimers(now)...)
	if s.viewChanged {
		s.viewChanged = false
		out = append(out, Changed{View: s.view()})
	}
	return out
}

func (s *Membership) stepHeartbeat(now core.Instant, h HeartbeatReceived) []Output {
	var out []Output
	if h.Reply != nil {
		out = append(out, SendHeartbeatReply{To: h.Reply, Info: s.self})
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
		s.viewChanged = true
	}
	m.info, m.heartbeatAt, m.live = info, now, true
	if s.self.isBehind(info) {
		out = append(out, NewerStateFound{VM: info.VM, Address: info.Address, Self: s.self})
	}
	return out
}

// stepVMsListed adds the VMs that the platform lists and removes those that have
// been neither listed nor live for removeAfter.
func (s *Membership) stepVMsListed(now core.Instant, m VMsListed) {
	listed := make(map[core.VM]bool, len(m.VMs))
	for _, info := range m.VMs {
		listed[info.VM] = true
		if s.members[info.VM] == nil && info.VM != s.self.VM {
			s.members[info.VM] = &member{info: info, knownAt: now}
		}
	}
	for id, other := range s.members {
		if listed[id] || other.live {
			other.knownAt = now
		}
		if now.Sub(other.knownAt) > removeAfter {
			delete(s.members, id)
			s.viewChanged = true
		}
	}
}

// isBehind reports whether the other VM holds a newer version of the log or of
// a map.
func (i Info) isBehind(other Info) bool {
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

func (s *Membership) stepTimers(now core.Instant) []Output {
	var out []Output
	if !now.Before(s.listAt) {
		s.listAt = now.Add(listInterval)
		out = append(out, ListVMs{})
	}
	for _, id := range s.sortedVMs() {
		m := s.members[id]
		interval, timeout := core.HeartbeatInterval, core.HeartbeatTimeout
		if m.info.FailureDomain != s.self.FailureDomain {
			interval, timeout = remoteHeartbeatInterval, 3*remoteHeartbeatInterval
		}
		if m.live && now.Sub(m.heartbeatAt) > timeout {
			m.live = false
			s.viewChanged = true
		}
		if !m.sent || now.Sub(m.sentAt) >= interval {
			m.sent, m.sentAt = true, now
			out = append(out, SendHeartbeat{VM: id, Address: m.info.Address, Info: s.self})
		}
	}
	return out
}

func (s *Membership) sortedVMs() []core.VM {
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
