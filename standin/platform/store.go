package platform

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
)

// Message is what the store takes.
type Message interface{ isStoreMessage() }

type (
	// Tick lets the store answer reads that have waited long enough.
	Tick struct{}
	// Append adds a record.
	Append struct {
		Data  []byte
		Reply chan<- uint64
	}
	// Read asks for records; without any it waits.
	Read struct {
		From  uint64
		Limit int
		Wait  time.Duration
		Reply chan<- platformlog.Page
	}
	// ListVMs asks for the list of VMs.
	ListVMs struct{ Reply chan<- []platformlog.LiveVM }
	// SetVM adds or changes a VM of the list.
	SetVM struct{ VM platformlog.LiveVM }
)

func (Tick) isStoreMessage()    {}
func (Append) isStoreMessage()  {}
func (Read) isStoreMessage()    {}
func (ListVMs) isStoreMessage() {}
func (SetVM) isStoreMessage()   {}

// Output is an answer to be delivered.
type Output interface{ isStoreOutput() }

type (
	// Appended answers an Append.
	Appended struct {
		To     chan<- uint64
		Offset uint64
	}
	// PageRead answers a Read.
	PageRead struct {
		To   chan<- platformlog.Page
		Page platformlog.Page
	}
	// Listed answers a ListVMs.
	Listed struct {
		To  chan<- []platformlog.LiveVM
		VMs []platformlog.LiveVM
	}
)

func (Appended) isStoreOutput() {}
func (PageRead) isStoreOutput() {}
func (Listed) isStoreOutput()   {}

// Store is the step that owns log and list.
type Store struct {
	entries []platformlog.Entry
	first   uint64
	waiting []waiting
	vms     []platformlog.LiveVM
}

type waiting struct {
	read  Read
	until core.Instant
}

// NewStore returns an empty store; the first offset is 1.
func NewStore() *Store { return &Store{first: 1} }

// Step implements duty.Step.
func (s *Store) Step(now core.Instant, m Message) []Output {
	var out []Output
	switch m := m.(type) {
	case Tick:
	case Append:
		offset := s.first + uint64(len(s.entries))
		s.entries = append(s.entries, platformlog.Entry{Offset: offset, Data: m.Data})
		out = append(out, Appended{To: m.Reply, Offset: offset})
	case Read:
		s.waiting = append(s.waiting, waiting{read: m, until: now.Add(m.Wait)})
	case ListVMs:
		out = append(out, Listed{To: m.Reply, VMs: append([]platformlog.LiveVM(nil), s.vms...)})
	case SetVM:
		s.setVM(m.VM)
	}
	return append(out, s.answerReads(now)...)
}

func (s *Store) setVM(vm platformlog.LiveVM) {
	for i := range s.vms {
		if s.vms[i].ID == vm.ID {
			s.vms[i] = vm
			return
		}
	}
	s.vms = append(s.vms, vm)
}

func (s *Store) answerReads(now core.Instant) []Output {
	var out []Output
	var still []waiting
	for _, w := range s.waiting {
		page := s.page(w.read.From, w.read.Limit)
		if len(page.Entries) == 0 && now.Before(w.until) {
			still = append(still, w)
			continue
		}
		out = append(out, PageRead{To: w.read.Reply, Page: page})
	}
	s.waiting = still
	return out
}

func (s *Store) page(from uint64, limit int) platformlog.Page {
	page := platformlog.Page{First: s.first}
	from = max(from, s.first)
	for i := from - s.first; i < uint64(len(s.entries)) && len(page.Entries) < limit; i++ {
		page.Entries = append(page.Entries, s.entries[i])
	}
	return page
}
