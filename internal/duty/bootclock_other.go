//go:build !linux

package duty

// NewBootClock returns the monotonic clock, as this system has no other.
func NewBootClock() Clock { return NewClock() }
