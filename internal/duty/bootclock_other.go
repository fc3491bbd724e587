//go:build !linux

package duty

// NewBootClock falls back to the ordinary monotonic clock, which may stop while
// the machine is suspended.
func NewBootClock() Clock { return NewClock() }
