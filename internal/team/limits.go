package team

import "time"

// Limits are the tolerances of quotas.
type Limits struct {
	// Window is the time over which a quota is judged.
	Window time.Duration
	// In any window, (rate x window + burst) x (1 + Overrun) + Slack requests of a
	// team may be sent.
	Overrun, Slack float64
	// Apply is how long after its acknowledgement a version of the configuration may
	// be missing. With an older copy, a VM has no local share, as the quota may have
	// been lowered since.
	Apply time.Duration
}

const (
	// maxLifetime bounds the life of a permit, and so the time for which a new
	// account has to wait for those of its predecessor.
	maxLifetime = 500 * time.Millisecond
	minLifetime = 20 * time.Millisecond
	// lifetimePart is the part of the tolerance that the lifetime of permits uses.
	// The rest is for local shares, the width of bins and the way to the target.
	lifetimePart = 0.6
	// deliveryDelay is how much later than its permit is checked a request may run.
	deliveryDelay = 100 * time.Millisecond
	// binWidth is the accuracy with which an account knows when it issued permits.
	binWidth = 50 * time.Millisecond
	// smoothing is how much of a rate may be sent at once beyond the burst, so that
	// ordinary variation of a team's requests isn't rejected.
	smoothing = time.Second
)

// quota is a team's quota in one version of the configuration.
type quota struct {
	version     int64
	rate, burst float64
}

// tolerance is the number of requests in a window that the limits allow beyond the
// quota.
func (l Limits) tolerance(q quota) float64 {
	return l.Overrun*(q.rate*l.Window.Seconds()+q.burst) + l.Slack
}

// lifetime returns how long a permit is valid.
func (l Limits) lifetime(q quota) time.Duration {
	d := seconds(lifetimePart * l.tolerance(q) / q.rate)
	return min(max(d, minLifetime), maxLifetime)
}

// span is the time in which permits are issued that can be used in one window.
func (l Limits) span(q quota) time.Duration { return l.Window + l.lifetime(q) }

// localShare returns how many requests each of a number of VMs may send in a window
// without a permit.
func (l Limits) localShare(q quota, vms int) int {
	used := q.rate * (l.lifetime(q) + binWidth + deliveryDelay).Seconds()
	return int(max(0, l.tolerance(q)-used) / float64(max(vms, 1)))
}

func seconds(f float64) time.Duration {
	const longest = float64(time.Hour / time.Second)
	return time.Duration(min(f, longest) * float64(time.Second))
}
