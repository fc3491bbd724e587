package duty

import (
	"time"

	"golang.org/x/sys/unix"

	"celeryhook.example/celeryhook/internal/core"
)

// NewBootClock returns a clock that keeps running while the machine is suspended,
// so that a lease that expires during suspension is detected as expired.
func NewBootClock() Clock {
	return func() core.Instant {
		var t unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
			return core.Instant(time.Since(processStart))
		}
		return core.Instant(t.Nano())
	}
}

var processStart = time.Now()
