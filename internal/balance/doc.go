// Package balance chooses the target of each attempt of a request, or refuses
// it. It holds what this VM knows of the targets' load: its own requests under
// way, the load that targets report with their answers, and how long and how
// well they answered. It limits retries, cold targets and queues.
//
// The decisions are a pure state machine; callers of a VM's requests talk to it
// over a ring.
package balance
