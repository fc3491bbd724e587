// Package front is the duty through which all requests for a target pass. It
// owns, per target, the slots in use, the queues, the cold-start limit and the
// observed latency, and per range the ids of non-idempotent requests. It
// decides; the edges send requests to targets and report what became of them.
//
// A request passes these stages: known (a repeat is answered from memory or
// joins the first), held (its range moves, is being taken, or its memory is
// being recalled), queued, reserved (a slot is taken and the id is being
// stored at the witnesses), sent. Only in the last one may it have run.
package front
