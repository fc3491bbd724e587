// Package app wires the duties and edges of an entry VM with fx. It has no
// logic of its own: each emit function hands a duty's outputs to the rings of
// other duties, or to a pool that carries out I/O and posts the result.
//
// Rings are filled without deadlock since blocking follows one direction:
// reader, membership and coordinator block on the router, the router blocks on
// grants, and grants never block. Messages against this direction are refused
// when the ring is full; each of them is repeated by a timer of its sender.
package app
