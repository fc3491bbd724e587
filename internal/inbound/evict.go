package inbound

import (
	"iter"
	"time"
)

// MinIdleTime is how long a connection must have been idle before it is closed: a
// request may be on its way.
const MinIdleTime = 300 * time.Millisecond

// Phase is what a connection does.
type Phase uint8

const (
	// Busy means that a request is in progress. The connection doesn't give way.
	Busy Phase = iota
	// Kept means that a request has been answered and the next one hasn't begun.
	Kept
	// Fresh means that nothing has arrived yet.
	Fresh
	// Reading means that a head has begun and isn't complete.
	Reading
)

// View is what is known of a connection.
type View struct {
	Phase Phase
	// Since is when the head began, or when the connection was last used.
	Since time.Time
	// HeadBytes is the memory that an incomplete head holds.
	HeadBytes int64
}

// Need is what there is no room for.
type Need uint8

const (
	// Connection means that there are too many connections, or no memory for another.
	Connection Need = iota
	// Memory means that there is no memory for a head or a request. Idle connections,
	// which hold little, stay.
	Memory
)

// Select returns the connection that gives way with what was known of it, or false if
// none does.
//
// An incomplete head gives way before an idle connection: ordinary clients send a head
// at once. Among heads it is the one that takes longest if connections are short, and
// the one that holds most if memory is. So a client can neither hold a place by sending
// slowly nor displace heads that are smaller than its own.
func Select[C any](conns iter.Seq2[C, View], need Need, now time.Time) (selected C, worst View, found bool) {
	for c, v := range conns {
		if v.mayGiveWay(need, now) && (!found || v.givesWayBefore(worst, need)) {
			selected, worst, found = c, v, true
		}
	}
	return selected, worst, found
}

func (v View) mayGiveWay(need Need, now time.Time) bool {
	switch v.Phase {
	case Reading:
		return true
	case Fresh, Kept:
		return need == Connection && now.Sub(v.Since) >= MinIdleTime
	default:
		return false
	}
}

func (v View) givesWayBefore(other View, need Need) bool {
	if v.Phase != other.Phase {
		return v.Phase > other.Phase
	}
	if need == Memory && v.HeadBytes != other.HeadBytes {
		return v.HeadBytes > other.HeadBytes
	}
	return v.Since.Before(other.Since)
}
