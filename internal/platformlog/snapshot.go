package platformlog

import (
	"fmt"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

const (
	// snapshotShare is the part of the retention after which the state is
	// appended again. Two further attempts fit before the records expire.
	snapshotShare = 3
	// snapshotRetry is the pause between two appends of a due snapshot; it is
	// longer than an append may take.
	snapshotRetry = 5 * time.Second
)

// SnapshotClock remembers when the latest snapshot was first seen. Every VM
// steps one, so that a new coordinator knows the age of the snapshot. The zero
// value is that of a VM that has just started: it doesn't know the age, which
// therefore counts as expired.
type SnapshotClock struct {
	started bool
	// offset is the latest snapshot seen, since when it was first seen; known
	// is false if that was at the start.
	offset uint64
	since  core.Instant
	known  bool
	// asked is when the last record was handed out, if any was.
	asked    core.Instant
	hasAsked bool
}

// Step returns the clock after a look at the state, and the snapshot to be
// appended now, or nil. A repeat is harmless.
func (c SnapshotClock) Step(now core.Instant, self core.VM, f Folded, p *policy.Policy) (SnapshotClock, *Record) {
	if !c.started || f.SnapshotOffset != c.offset {
		c.known = c.started
		c.started, c.offset, c.since, c.hasAsked = true, f.SnapshotOffset, now, false
	}
	if p == nil || f.SnapshotAuthor(p) != self || !c.due(now, f, p) {
		return c, nil
	}
	if c.hasAsked && now.Sub(c.asked) < snapshotRetry {
		return c, nil
	}
	c.asked, c.hasAsked = now, true
	return c, &Record{
		Kind:   KindSnapshot,
		ID:     fmt.Sprintf("snapshot-%d-%s", f.Offset, self),
		Author: string(self),
		Folded: &f,
	}
}

func (c SnapshotClock) due(now core.Instant, f Folded, p *policy.Policy) bool {
	return !c.known ||
		now.Sub(c.since) >= p.Control.LogRetention/snapshotShare ||
		f.Offset-f.SnapshotOffset >= uint64(p.Control.LogRecords/snapshotShare)
}

// SnapshotAuthor returns the VM that appends snapshots: the coordinator of the
// first failure domain that is in and has a term. It is empty if there is none.
func (f Folded) SnapshotAuthor(p *policy.Policy) core.VM {
	for _, d := range p.FailureDomains {
		if t, ok := f.Terms[d]; ok && f.DomainState(d) == DomainIn {
			return t.Coordinator
		}
	}
	return ""
}
