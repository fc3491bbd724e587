package platform

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
)

// Message is what the store takes.
type Message interface{ isStoreMessage() }

type (
	// Tick lets the store look at its timers.
	Tick struct{}
	// Append adds a record.
	Append struct {
		Data  []byte
		Reply chan<- Answer
	}
	// Read asks for records; without any it waits.
	Read struct {
		From  uint64
		Limit int
		Wait  time.Duration
		Reply chan<- Answer
	}
	// ListVMs asks for the list of VMs.
	ListVMs struct{ Reply chan<- Answer }
	// SetVM adds or changes a VM of the list.
	SetVM struct{ VM platformlog.LiveVM }
	// RemoveVM takes a VM off the list.
	RemoveVM struct{ ID core.VM }
	// SetFaults replaces the faults.
	SetFaults struct{ Faults Faults }
	// GetFaults asks for the faults.
	GetFaults struct{ Reply chan<- Answer }
)

func (Tick) isStoreMessage()      {}
func (Append) isStoreMessage()    {}
func (Read) isStoreMessage()      {}
func (ListVMs) isStoreMessage()   {}
func (SetVM) isStoreMessage()     {}
func (RemoveVM) isStoreMessage()  {}
func (SetFaults) isStoreMessage() {}
func (GetFaults) isStoreMessage() {}

// Answer is the answer to a message; the fields of its kind are set.
type Answer struct {
	Offset uint64
	Page   platformlog.Page
	VMs    []platformlog.LiveVM
	Faults Faults
	// Down says that nothing was done, Lost that the answer must not arrive.
	Down, Lost bool
}

// Output is an answer to be delivered.
type Output struct {
	To     chan<- Answer
	Answer Answer
}

// Store is the step that owns log, list and faults.
type Store struct {
	faults  Faults
	entries []stored
	// next is the offset of the next record.
	next    uint64
	waiting []waiting
	held    []held
	vms     []platformlog.LiveVM
	// changes of the list aren't visible before their time.
	changes []change
}

type stored struct {
	entry platformlog.Entry
	at    core.Instant
}

type waiting struct {
	read  Read
	until core.Instant
}

type held struct {
	output Output
	until  core.Instant
}

type change struct {
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
		s.waiting = append(s.waiting, waiting{read: m, until: now.Add(m.Wait)})
	case ListVMs:
		s.showChanges(now)
		s.answer(now, m.Reply, Answer{VMs: slices.Clone(s.vms)})
	case SetVM:
		s.changes = append(s.changes, change{vm: m.VM, at: now.Add(s.faults.VMLag)})
	case RemoveVM:
		s.changes = append(s.changes, change{vm: platformlog.LiveVM{ID: m.ID}, removed: true, at: now.Add(s.faults.VMLag)})
	case SetFaults:
		s.faults = m.Faults
	case GetFaults:
		s.hold(now, m.Reply, Answer{Faults: s.faults})
	}
	s.expire(now)
	s.answerReads(now)
	return s.release(now)
}

func (s *Store) append(now core.Instant, m Append) {
	if s.faults.Down {
		s.answer(now, m.Reply, Answer{})
		return
	}
	answer := Answer{Offset: s.next}
	s.entries = append(s.entries, stored{entry: platformlog.Entry{Offset: s.next, Data: m.Data}, at: now})
	s.next++
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		answer.Lost = true
	}
	s.answer(now, m.Reply, answer)
}

// answer answers a request of the platform's interface.
func (s *Store) answer(now core.Instant, to chan<- Answer, a Answer) {
	if s.faults.Down {
		s.hold(now, to, Answer{Down: true})
		return
	}
	s.hold(now.Add(s.faults.Delay), to, a)
}

func (s *Store) hold(until core.Instant, to chan<- Answer, a Answer) {
	s.held = append(s.held, held{output: Output{To: to, Answer: a}, until: until})
}

// release returns the answers whose time has come.
func (s *Store) release(now core.Instant) []Output {
	var out []Output
	s.held = slices.DeleteFunc(s.held, func(h held) bool {
		due := !now.Before(h.until)
		if due {
			out = append(out, h.output)
		}
		return due
	})
	return out
}

// expire drops the records that the retention doesn't cover.
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

func (s *Store) answerReads(now core.Instant) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiting) bool {
		page := s.page(w.read.From, w.read.Limit)
		if len(page.Entries) == 0 && now.Before(w.until) && !s.faults.Down {
			return false
		}
		s.answer(now, w.read.Reply, Answer{Page: page})
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

// showChanges makes the changes visible whose time has come, in order.
func (s *Store) showChanges(now core.Instant) {
	for len(s.changes) > 0 && !now.Before(s.changes[0].at) {
		c := s.changes[0]
		s.changes = s.changes[1:]
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
