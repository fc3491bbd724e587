// Package front is the duty through which all requests for a target pass. It
// owns, per target, the slots in use, the queues, the cold-start limit, the
// observed latency and the ids of the requests sent. It decides; the edges
// send requests to targets and report what became of them.
package front
