// Package forward carries a request through the hops that the route and front
// duties decide: from the entry VM to the front, from the front to the target,
// and back. It runs on the goroutines of the edges and owns no state.
package forward
