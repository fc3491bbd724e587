// Package app wires the duties and I/O layers of an entry VM with fx. It makes
// no decisions: each emit function passes the outputs of a duty to the rings of
// other duties, or to a pool that performs the I/O and posts the result.
//
// Sends to full rings can't deadlock, since blocking follows one direction:
// reader, membership and coordinator block on the router, the router blocks on
// grants, and grants never block. Messages against this direction are rejected
// when the ring is full; the sender resends each of them on a timer.
package app
