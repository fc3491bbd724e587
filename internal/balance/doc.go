// Package balance selects the target of each attempt of a request, or rejects
// the attempt. It tracks the load of the targets as this VM sees it: its own
// requests in flight, the load that targets report with their responses, and
// their latency and failure rate. It limits retries, requests to cold targets
// and queue lengths.
//
// Decisions are made by a pure state machine that receives its messages over a
// ring.
package balance
