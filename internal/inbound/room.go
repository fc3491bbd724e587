package inbound

import "time"

// Room lets a listener wait for room for a new connection.
type Room struct{ changed chan struct{} }

// NewRoom returns a Room.
func NewRoom() *Room { return &Room{changed: make(chan struct{}, 1)} }

// Changed is called when a connection was closed, or may give way that couldn't before.
func (r *Room) Changed() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Await calls try until it reports that there is room, and reports whether there was. It
// gives up if try reports that it isn't worth waiting, and after twice MinIdleTime: the
// time until an idle connection gives way, and as long for its end.
//
// Without the wait, of many clients that connect at once all but the first few are
// rejected, because nothing has been read yet of the connections that would give way.
func (r *Room) Await(try func() (room, mayWait bool)) bool {
	room, mayWait := try()
	if room || !mayWait {
		return room // without a timer, which would wake the scheduler for each connection
	}
	retry := time.NewTicker(MinIdleTime)
	defer retry.Stop()
	for retries := 0; mayWait && !room && retries < 2; {
		select {
		case <-r.changed:
		case <-retry.C:
			retries++
		}
		room, mayWait = try()
	}
	return room
}

// AwaitEnd waits until a connection that has given way has ended, which the channel
// tells, for MinIdleTime at most. It reports whether it has.
func AwaitEnd(ended <-chan struct{}) bool {
	timeout := time.NewTimer(MinIdleTime)
	defer timeout.Stop()
	select {
	case <-ended:
		return true
	case <-timeout.C:
		return false
	}
}
