package team

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// bucket is the account of one team. It keeps what was issued in bins, so that
// permits that come back are taken out of the time at which they were issued: as if
// they had never been. Permits that were credited at the time of their return could
// be added to a full bucket.
type bucket struct {
	quota
	// level is that of a token bucket at levelAt, before the first bin.
	level   float64
	levelAt core.Instant
	bins    []bin
	// nextSlot is when the next rejected request is told to return.
	nextSlot core.Instant
	usedAt   core.Instant
}

// bin holds the number of permits that were issued from a time on.
type bin struct {
	at     core.Instant
	issued int
}

func (b *bucket) capacity() float64 { return max(1, b.burst+b.rate*smoothing.Seconds()) }

// advance drops the bins that no window needs any more.
func (b *bucket) advance(now core.Instant, l Limits) {
	n := 0
	for n < len(b.bins) && now.Sub(b.bins[n].at) > l.Window+maxLifetime+binWidth {
		b.level = b.levelBefore(b.bins[n].at) - float64(b.bins[n].issued)
		b.levelAt = b.bins[n].at
		n++
	}
	b.bins = append(b.bins[:0], b.bins[n:]...)
}

// levelBefore returns the level at a time without the bins.
func (b *bucket) levelBefore(t core.Instant) float64 {
	return min(b.capacity(), b.level+b.rate*t.Sub(b.levelAt).Seconds())
}

// state returns the level of the token bucket, and the permits issued in the span
// that ends now.
func (b *bucket) state(now core.Instant, span time.Duration) (level float64, issued int) {
	level, at, capacity := b.level, b.levelAt, b.capacity()
	for _, v := range b.bins {
		level = min(capacity, level+b.rate*v.at.Sub(at).Seconds()) - float64(v.issued)
		at = v.at
		if now.Sub(v.at) <= span+binWidth {
			issued += v.issued
		}
	}
	return min(capacity, level+b.rate*now.Sub(at).Seconds()), issued
}

// spanLimit returns how many permits may be issued in a span and the width of a bin,
// for which they are counted.
func (b *bucket) spanLimit(l Limits) float64 {
	return b.rate*(l.span(b.quota)+binWidth).Seconds() + b.burst
}

// available returns how many permits may be issued now.
func (b *bucket) available(now core.Instant, l Limits) int {
	level, issued := b.state(now, l.span(b.quota))
	return int(max(0, min(level, max(1, b.spanLimit(l))-float64(issued))))
}

// issue records permits and returns the time of their bin, which identifies it.
func (b *bucket) issue(now core.Instant, n int) core.Instant {
	if last := len(b.bins) - 1; last >= 0 && now.Sub(b.bins[last].at) < binWidth {
		b.bins[last].issued += n
		return b.bins[last].at
	}
	b.bins = append(b.bins, bin{at: now, issued: n})
	return now
}

// takeBack undoes the issue of permits that nobody has used.
func (b *bucket) takeBack(at core.Instant, n int) {
	for i := range b.bins {
		if b.bins[i].at == at {
			b.bins[i].issued -= min(max(n, 0), b.bins[i].issued)
		}
	}
}

// wait returns the time until a permit will be available.
func (b *bucket) wait(now core.Instant, l Limits) time.Duration {
	span := l.span(b.quota)
	level, issued := b.state(now, span)
	var d time.Duration
	if level < 1 {
		d = seconds((1 - level) / b.rate)
	}
	limit := max(1, b.spanLimit(l)) - 1
	for _, v := range b.bins {
		age := now.Sub(v.at)
		if float64(issued) <= limit {
			break
		}
		if age <= span+binWidth {
			issued -= v.issued
			d = max(d, span+binWidth-age)
		}
	}
	return d
}

// promise returns when n rejected requests may return: at the rate of the quota, as
// all of them can't be served at once. No later than a window from now.
func (b *bucket) promise(now core.Instant, n int, l Limits) time.Duration {
	slot := max(now.Add(b.wait(now, l)), b.nextSlot)
	slot = min(slot, now.Add(l.Window))
	b.nextSlot = slot.Add(seconds(float64(n) / b.rate))
	return slot.Sub(now)
}
