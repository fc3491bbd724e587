// Package ingress takes callers' requests and answers each of them once: with a
// target's whole answer, with a refusal that is true, or with a failure that
// promises nothing. It reads a request completely before anything of it goes to
// a target, asks the balancer for a target, and retries only what may run again
// or provably has not run.
package ingress
