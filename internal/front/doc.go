// Package front implements admission control for targets. Every request for a
// target passes through the one front that holds its grant. The front owns, per
// target, the slots in use, the queues, the cold-start limit and the observed
// latency, and per range the records of non-idempotent request ids. It only
// makes decisions; the callers of this package send requests to targets and
// report their outcomes.
//
// A request passes these stages: duplicate check (a duplicate is answered from
// its record or waits for the first request), held (its range is moving, its
// grant is not confirmed, or its records are being recalled), queued, reserved
// (a slot is taken and the id is being stored at the witnesses), sent. Only a
// request that was sent may have run.
package front
