package platform

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
)

// Message is an input of the store.
type Message interface{ isStoreMessage() }

type (
	// Tick makes the store process expired timers.
	Tick struct{}
	// Append appends a record to the log.
	Append struct {
		Data  []byte
		Reply chan<- Response
	}
	// Read requests records. If there are none, the response waits for the
	// next append, but not longer than Wait.
	Read struct {
		From  uint64
		Limit int
		Wait  time.Duration
		Reply chan<- Response
	}
	// ListVMs requests the list of VMs.
	ListVMs struct{ Reply chan<- Response }
	// SetVM adds a VM to the list or updates it.
	SetVM struct{ VM platformlog.LiveVM }
	// RemoveVM removes a VM from the list.
	RemoveVM  struct{ ID core.VM }
	SetFaults struct{ Faults Faults }
	// GetFaults requests the faults in force.
	GetFaults struct{ Reply chan<- Response }
)

func (Tick) isStoreMessage()      {}
func (Append) isStoreMessage()    {}
func (Read) isStoreMessage()      {}
func (ListVMs) isStoreMessage()   {}
func (SetVM) isStoreMessage()     {}
func (RemoveVM) isStoreMessage()  {}
func (SetFaults) isStoreMessage() {}
func (GetFaults) isStoreMessage() {}

// Response is the response to a message; only the fields of that message are
// set.
type Response struct {
	Offset uint64
	Page   platformlog.Page
	VMs    []platformlog.LiveVM
	Faults Faults
	// Down means that the request had no effect, Dropped that the connection
	// must be closed without a response.
	Down, Dropped bool
}

// Output is a response to be delivered.
type Output struct {
	To       chan<- Response
	Response Response
}

// Store implements duty.Step. It owns the log, the list of VMs and the faults.
type Store struct {
	faults  Faults
	entries []storedRecord
	// next is the offset of the next record.
	next         uint64
	pendingReads []pendingRead
	scheduled    []scheduledResponse
	vms          []platformlog.LiveVM
	// pendingChanges of the list become visible at their time.
	pendingChanges []vmChange
}

type storedRecord struct {
	entry platformlog.Entry
	at    core.Instant
}

type pendingRead struct {
	read  Read
	until core.Instant
}

type scheduledResponse struct {
	output Output
	until  core.Instant
}

type vmChange struct {
	vm      platformlog.LiveVM
	removed bool
	at      core.Instant
}

// NewStore returns an empty store; the first offset is 1.
func NewStore() *Store { return &Store{next: 1} }

// Step implements duty.Step.
func (s *Store) Step(now core.Instant, m Message) []Output {
	switch m := m.(type) {
	case Append:
		s.append(now, m)
	case Read:
		s.pendingReads = append(s.pendingReads, pendingRead{read: m, until: now.Add(m.Wait)})
	case ListVMs:
		s.applyChanges(now)
		s.respond(now, m.Reply, Response{VMs: slices.Clone(s.vms)})
	case SetVM:
		s.pendingChanges = append(s.pendingChanges, vmChange{vm: m.VM, at: now.Add(s.faults.VMLag)})
	case RemoveVM:
		s.pendingChanges = append(s.pendingChanges, vmChange{vm: platformlog.LiveVM{ID: m.ID}, removed: true, at: now.Add(s.faults.VMLag)})
	case SetFaults:
		s.faults = m.Faults
	case GetFaults:
		s.schedule(now, m.Reply, Response{Faults: s.faults})
	}
	s.expire(now)
	s.completeReads(now)
	return s.dueResponses(now)
}

func (s *Store) append(now core.Instant, m Append) {
	if s.faults.Down {
		s.respond(now, m.Reply, Response{})
		return
	}
	res := Response{Offset: s.next}
	s.entries = append(s.entries, storedRecord{entry: platformlog.Entry{Offset: s.next, Data: m.Data}, at: now})
	s.next++
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		res.Dropped = true
	}
	s.respond(now, m.Reply, res)
}

// respond schedules the response to a request of the platform's API, as the
// faults require.
func (s *Store) respond(now core.Instant, to chan<- Response, res Response) {
	if s.faults.Down {
		s.schedule(now, to, Response{Down: true})
		return
	}
	s.schedule(now.Add(s.faults.Delay), to, res)
}

func (s *Store) schedule(until core.Instant, to chan<- Response, res Response) {
	s.scheduled = append(s.scheduled, scheduledResponse{output: Output{To: to, Response: res}, until: until})
}

// dueResponses removes and returns the responses that are due.
func (s *Store) dueResponses(now core.Instant) []Output {
	var out []Output
	s.scheduled = slices.DeleteFunc(s.scheduled, func(r scheduledResponse) bool {
		due := !now.Before(r.until)
		if due {
			out = append(out, r.output)
		}
		return due
	})
	return out
}

// expire deletes the records beyond the retention limits.
func (s *Store) expire(now core.Instant) {
	drop := 0
	if s.faults.RetainRecords > 0 {
		drop = max(0, len(s.entries)-s.faults.RetainRecords)
	}
	for s.faults.RetainAge > 0 && drop < len(s.entries) && now.Sub(s.entries[drop].at) > s.faults.RetainAge {
		drop++
	}
	s.entries = s.entries[drop:]
}

func (s *Store) completeReads(now core.Instant) {
	s.pendingReads = slices.DeleteFunc(s.pendingReads, func(r pendingRead) bool {
		page := s.page(r.read.From, r.read.Limit)
		if len(page.Entries) == 0 && now.Before(r.until) && !s.faults.Down {
			return false
		}
		s.respond(now, r.read.Reply, Response{Page: page})
		return true
	})
}

func (s *Store) page(from uint64, limit int) platformlog.Page {
	page := platformlog.Page{First: s.next - uint64(len(s.entries))}
	from = max(from, page.First)
	for i := from - page.First; i < uint64(len(s.entries)) && len(page.Entries) < limit; i++ {
		page.Entries = append(page.Entries, s.entries[i].entry)
	}
	return page
}

// applyChanges makes the changes visible that are due, in order.
func (s *Store) applyChanges(now core.Instant) {
	for len(s.pendingChanges) > 0 && !now.Before(s.pendingChanges[0].at) {
		c := s.pendingChanges[0]
		s.pendingChanges = s.pendingChanges[1:]
		i := slices.IndexFunc(s.vms, func(vm platformlog.LiveVM) bool { return vm.ID == c.vm.ID })
		switch {
		case c.removed && i >= 0:
			s.vms = slices.Delete(s.vms, i, i+1)
		case c.removed:
		case i >= 0:
			s.vms[i] = c.vm
		default:
			s.vms = append(s.vms, c.vm)
		}
	}
}
