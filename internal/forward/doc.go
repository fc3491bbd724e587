// Package forward carries a request along the path that the route and front
// duties decide on: from the entry VM to the front, from the front to the
// target, and back. It runs on the I/O goroutines and owns no state.
package forward
