// Package ingress receives callers' requests and sends exactly one response to
// each: a target's complete response, a rejection that states that the request
// did not run, or a failure that leaves this open. It reads a request
// completely before it sends any of it to a target, lets the balancer select
// the target, and retries only requests that are idempotent or that provably
// did not run.
package ingress
