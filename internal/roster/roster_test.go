package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
)

const start = core.Instant(time.Hour)

func member(vm, domain string, capacity float64) Member {
	return Member{VM: core.VM(vm), FailureDomain: core.FailureDomain(domain), Address: vm + ":1", Capacity: capacity}
}

// Guards against VMs that rank the same members differently.
func TestAllVMsRankAlike(t *testing.T) {
	is := is.New(t)
	all := []Member{member("a", "x", 1), member("b", "x", 2), member("c", "y", 1), member("d", "y", 2)}
	var first []Member
	for _, self := range all {
		r := New(self)
		for _, m := range all {
			r.Renew(start, m)
		}
		ranked := r.View().Ranked("t1", "y")
		is.Equal(string(ranked[0].FailureDomain), "y")
		if first == nil {
			first = ranked
		}
		is.Equal(ranked, first)
		is.Equal(string(r.View().RankedByCapacity("lead", "x")[0].VM), "b")
	}
}

// Guards against a VM that follows itself, and one that tries all VMs of its own
// failure domain before the reader of another one.
func TestSources(t *testing.T) {
	is := is.New(t)
	r := New(member("a", "x", 2))
	for _, m := range []Member{member("b", "x", 1), member("c", "x", 1), member("d", "y", 1), member("e", "y", 2)} {
		r.Renew(start, m)
	}
	sources := r.View().Sources("reader")
	is.Equal(len(sources), 4)
	is.Equal(string(sources[0].VM), "e")
}

// Guards against failed VMs that are never removed, and against records of an
// earlier process that replace those of a later one.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	r := New(member("a", "x", 1))
	late := member("b", "x", 1)
	late.Incarnation = 2
	r.Renew(start, late)
	r.Renew(start, member("b", "x", 1))
	got, _ := r.View().Member("b")
	is.Equal(got.Incarnation, int64(2))
	r.Expire(start.Add(RecordTTL))
	is.Equal(r.View().Size(), 2)
	r.Expire(start.Add(RecordTTL + time.Second))
	is.Equal(r.View().Size(), 1) // the VM itself stays
}

// Guards against accepting a record that is malformed or has no VM or address.
func TestDecode(t *testing.T) {
	is := is.New(t)
	b, err := member("a", "x", 0.5).Encode()
	is.NoErr(err)
	m, err := Decode(b)
	is.NoErr(err)
	is.Equal(m, member("a", "x", 0.5))
	for _, bad := range []string{"", "[]", `{"vm":"a"}`} {
		_, err := Decode([]byte(bad))
		is.True(err != nil)
	}
}

// Guards against a member whose record stays lost after the store was restored from
// an older copy, and against VMs that all write at once then.
func TestRecordIsWrittenAgainAfterALoss(t *testing.T) {
	is := is.New(t)
	writes := make(map[core.Instant]int)
	for _, self := range []string{"a", "b", "c", "d"} {
		d := NewDuty(member(self, "x", 1))
		d.Step(start, Tick{})
		for _, other := range []string{"a", "b", "c", "d"} {
			d.Step(start, RecordRead{Member: member(other, "x", 1)})
		}
		d.Step(start, Tick{})
		now := start.Add(time.Second)
		out := d.Step(now, RecordsLost{})
		for ; len(out) == 0 && now.Sub(start) < RenewInterval; now = now.Add(time.Millisecond) {
			out = d.Step(now, Tick{})
		}
		is.Equal(len(out), 1)
		is.Equal(out[0], WriteRecord{Member: member(self, "x", 1)})
		is.True(now.Sub(start) < 2*time.Second)
		writes[now]++
	}
	is.Equal(len(writes), 4)
}
