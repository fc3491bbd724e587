package witness

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
)

func doneRecord(id string, bytes int) Record {
	return Record{
		ID: core.RequestID(id), Range: core.RangeID{Service: "s"}, State: StateDone,
		Response: &Response{Body: make([]byte, bytes)},
	}
}

// Guards against a full store that drops ids, and against responses that use
// more memory than allowed.
func TestStoreBounds(t *testing.T) {
	is := is.New(t)
	s := NewStore(3, 100)
	for i := range 3 {
		is.True(s.Put(0, doneRecord(fmt.Sprint(i), 60)))
	}
	is.True(!s.Put(0, doneRecord("3", 1))) // full
	is.Equal(s.Len(), 3)
	is.True(s.Get(Key{"s", "0"}).Response == nil) // the oldest responses made room
	is.True(s.Get(Key{"s", "1"}).Response == nil)
	is.True(s.Get(Key{"s", "2"}).Response != nil)
	is.Equal(s.Get(Key{"s", "0"}).State, StateDone) // but the id stays
	s.Expire(core.Instant(time.Minute), time.Minute)
	is.Equal(s.Len(), 0)
	is.True(s.Put(core.Instant(time.Minute), doneRecord("4", 90)))
	is.True(s.Get(Key{"s", "4"}).Response != nil)
}

// Guards against a delayed copy that overwrites the known state of a request.
func TestStoreMergeKeepsHigherPrecedence(t *testing.T) {
	is := is.New(t)
	s := NewStore(10, 1000)
	r := doneRecord("x", 5)
	s.Put(0, r)
	s.Put(0, Record{ID: "x", Range: r.Range, State: StateSent})
	s.Put(0, Record{ID: "x", Range: r.Range, State: StateUnknown})
	is.Equal(s.Get(r.Key()).State, StateDone)
	is.True(s.Get(r.Key()).Response != nil)
}

// Guards against a record that expires earlier at the VM that it was copied to.
func TestStoreKeepsAge(t *testing.T) {
	is := is.New(t)
	a, b := NewStore(10, 1000), NewStore(10, 1000)
	a.Put(0, doneRecord("x", 1))
	copied, ok := a.GetWithAge(core.Instant(30*time.Second), Key{"s", "x"})
	is.True(ok)
	b.Put(core.Instant(time.Hour), copied)
	b.Expire(core.Instant(time.Hour+29*time.Second), time.Minute)
	is.Equal(b.Len(), 1)
	b.Expire(core.Instant(time.Hour+30*time.Second), time.Minute)
	is.Equal(b.Len(), 0)
}
