package platformlog

import (
	"fmt"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

const (
	// snapshotsPerRetention is the number of snapshots in a retention period. The
	// state is appended again after a third of the period, which leaves time for
	// two further attempts before the records expire.
	snapshotsPerRetention = 3
	// snapshotRetryInterval is the interval between attempts to append a due
	// snapshot. It is longer than the time-out of an append.
	snapshotRetryInterval = 5 * time.Second
)

// SnapshotTimer decides when a snapshot is due, by the time at which the latest
// one was first seen. Every VM runs one, so that a new coordinator knows the age
// of the snapshot. After the start of a VM (the zero value) the age is unknown,
// and a snapshot is due at once.
type SnapshotTimer struct {
	started bool
	// offset is that of the latest snapshot, firstSeen the time at which it was
	// first seen. ageKnown is false if that was at the start.
	offset    uint64
	firstSeen core.Instant
	ageKnown  bool
	// requestedAt is the time of the latest append request, if requested is set.
	requestedAt core.Instant
	requested   bool
}

// Step returns the timer after a check of the state, and the snapshot to append
// now, or nil. Appending the same snapshot twice is harmless.
func (t SnapshotTimer) Step(now core.Instant, self core.VM, st State, p *policy.Policy) (SnapshotTimer, *Record) {
	if !t.started || st.SnapshotOffset != t.offset {
		t.ageKnown = t.started
		t.started, t.offset, t.firstSeen, t.requested = true, st.SnapshotOffset, now, false
	}
	if p == nil || st.SnapshotAuthor(p) != self || !t.due(now, st, p) {
		return t, nil
	}
	if t.requested && now.Sub(t.requestedAt) < snapshotRetryInterval {
		return t, nil
	}
	t.requestedAt, t.requested = now, true
	return t, &Record{
		Kind:     KindSnapshot,
		ID:       fmt.Sprintf("snapshot-%d-%s", st.Offset, self),
		Author:   string(self),
		Snapshot: &st,
	}
}

func (t SnapshotTimer) due(now core.Instant, st State, p *policy.Policy) bool {
	return !t.ageKnown ||
		now.Sub(t.firstSeen) >= p.Control.LogRetention/snapshotsPerRetention ||
		st.Offset-st.SnapshotOffset >= uint64(p.Control.LogRecords/snapshotsPerRetention)
}

// SnapshotAuthor returns the VM that appends snapshots: the coordinator of the
// first failure domain that is in and has a term. It is empty if there is none.
func (st State) SnapshotAuthor(p *policy.Policy) core.VM {
	for _, d := range p.FailureDomains {
		if t, ok := st.Terms[d]; ok && st.DomainState(d) == DomainIn {
			return t.Coordinator
		}
	}
	return ""
}
