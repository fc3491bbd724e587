package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	start = core.Instant(time.Hour)
	prior = 100 * time.Millisecond
)

var scope = Scope{Service: "s", Route: "r"}

// drawn is a request of the random load.
type drawn struct {
	segment, path, key, size, caller int
}

func draw(random *rand.Rand) drawn {
	return drawn{segment: random.IntN(8), path: random.IntN(200), key: random.IntN(40), size: 1 << random.IntN(10), caller: random.IntN(12)}
}

func (d drawn) features() Features {
	return NewFeatures(Attributes{
		Method: "POST", Path: fmt.Sprintf("p%d/%d", d.segment, d.path), Key: uint16(d.key), Keyed: true,
		BodyBytes: d.size, Caller: []string{fmt.Sprint("c", d.caller)},
	})
}

// classWork is heavy-tailed over the classes: most are cheap, and one in ten takes
// forty times as long.
func classWork(class int) time.Duration {
	switch class % 10 {
	case 3:
		return 800 * time.Millisecond
	case 1, 5:
		return 120 * time.Millisecond
	}
	return 20 * time.Millisecond
}

// noisy returns the mean with a noise that is heavy-tailed itself.
func noisy(random *rand.Rand, mean time.Duration) time.Duration {
	const sigma = 0.5
	return time.Duration(float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

// Guards against an estimator that misses the feature which the work depends on, or
// keeps to one after the work depends on another.
func TestFindsTheFeature(t *testing.T) {
	var e Estimator
	random := rand.New(rand.NewPCG(3, 1))
	now := start
	for _, c := range []struct {
		feature Feature
		class   func(drawn) int
	}{
		{Segment, func(d drawn) int { return d.segment }},
		{Key, func(d drawn) int { return d.key }},
		{Size, func(d drawn) int { return int(math.Log2(float64(d.size))) }},
		{Caller, func(d drawn) int { return d.caller }},
	} {
		t.Run(c.feature.String(), func(t *testing.T) {
			var found, compared int
			var absolute, byRoute float64
			for i := range 3000 {
				now = now.Add(20 * time.Millisecond)
				d := draw(random)
				work := classWork(c.class(d))
				got := e.Estimate(now, scope, d.features(), prior)
				if i >= 2000 {
					compared++
					if got.Feature == c.feature {
						found++
					}
					absolute += math.Abs((got.Mean - work).Seconds())
					byRoute += math.Abs((e.Estimate(now, scope, Features{}, prior).Mean - work).Seconds())
				}
				e.Observe(now, scope, d.features(), prior, noisy(random, work))
			}
			t.Logf("seed 3,1: %d of %d estimates use the feature, error %.1f ms, by the route's mean %.1f ms",
				found, compared, absolute, byRoute)
			if found < compared*9/10 || absolute > byRoute/2 {
				t.Fatal("the feature was not found")
			}
		})
	}
}

// Guards against features that only repeat the noise of a load which depends on
// none of them.
func TestNoWorseThanTheMeanWithoutDependence(t *testing.T) {
	for seed := range uint64(8) {
		var e Estimator
		random := rand.New(rand.NewPCG(seed, 2))
		now := start
		var absolute, squared, meanAbsolute, meanSquared float64
		for i := range 6000 {
			now = now.Add(20 * time.Millisecond)
			f := draw(random).features()
			sample := noisy(random, classWork(random.IntN(10)))
			if i >= 200 {
				d := (e.Estimate(now, scope, f, prior).Mean - sample).Seconds()
				absolute, squared = absolute+math.Abs(d), squared+d*d
				d = (e.Estimate(now, scope, Features{}, prior).Mean - sample).Seconds()
				meanAbsolute, meanSquared = meanAbsolute+math.Abs(d), meanSquared+d*d
			}
			e.Observe(now, scope, f, prior, sample)
		}
		t.Logf("seed %d,2: error %.4f, squared %.4f of that of the route's mean", seed, absolute/meanAbsolute, squared/meanSquared)
		if absolute > 1.02*meanAbsolute || squared > 1.02*meanSquared {
			t.Fatal("worse than the mean of the route")
		}
	}
}

// Guards against a memory that grows with what callers send, and against dropping
// the values that are seen all the time.
func TestBoundedMemory(t *testing.T) {
	is := is.New(t)
	var e Estimator
	now := start
	usual := NewFeatures(Attributes{Method: "GET", Path: "usual/1", Caller: []string{"usual"}})
	for i := range 30000 {
		now = now.Add(time.Millisecond / 2)
		text := fmt.Sprint(i)
		f := NewFeatures(Attributes{Method: text, Path: text + "/" + text, Key: uint16(i), Keyed: true, BodyBytes: i, Caller: []string{text}})
		e.Observe(now, Scope{Service: "s", Route: fmt.Sprint(i % 1500)}, f, prior, prior)
		e.Observe(now, scope, usual, prior, prior)
		if e.Len() > MaxEntries || len(e.routes) > maxRoutes || len(e.entries.slots) > MaxEntries+2*featureCount {
			t.Fatalf("%d entries, %d routes, %d slots", e.Len(), len(e.routes), len(e.entries.slots))
		}
	}
	is.True(e.Len() > MaxEntries/2)
	number := e.routes[scope].number
	is.True(e.entries.find(entryKey{route: number, feature: Segment, value: usual[Segment]}) != nil)
}

// Guards against entries that outlive their retention, and against old estimates
// used in the meantime.
func TestForgetsWhatIsNotSeen(t *testing.T) {
	is := is.New(t)
	var e Estimator
	random := rand.New(rand.NewPCG(5, 3))
	now := start
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		d := draw(random)
		e.Observe(now, scope, d.features(), prior, classWork(d.segment))
	}
	expensive := drawn{segment: 3}.features()
	is.True(e.Estimate(now, scope, expensive, prior).Mean > 600*time.Millisecond)
	// The other segments are seen all the time.
	until := now.Add(Retention + time.Second)
	for now.Before(until) {
		now = now.Add(50 * time.Millisecond)
		e.Observe(now, scope, drawn{}.features(), prior, classWork(0))
	}
	got := e.Estimate(now, scope, expensive, prior)
	is.Equal(got.Feature, NoFeature)
	is.True(got.Mean < 100*time.Millisecond)
	is.Equal(e.Len(), 7) // the route and its six features
	now = now.Add(Retention + time.Second)
	is.Equal(e.Estimate(now, scope, drawn{}.features(), prior).Mean, prior)
	e.Observe(now, scope, drawn{}.features(), prior, prior)
	is.Equal(e.Len(), 7)
}

// Guards against one slow request that makes its class, or its route, look
// expensive.
func TestOneOutlier(t *testing.T) {
	is := is.New(t)
	var e Estimator
	random := rand.New(rand.NewPCG(6, 4))
	now := start
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		d := draw(random)
		e.Observe(now, scope, d.features(), prior, classWork(d.segment))
	}
	cheap := drawn{segment: 2}.features()
	before, route := e.Estimate(now, scope, cheap, prior).Mean, e.Estimate(now, scope, Features{}, prior).Mean
	e.Observe(now, scope, cheap, prior, 10*time.Minute)
	is.True(e.Estimate(now, scope, cheap, prior).Mean < before*3/2)
	is.True(e.Estimate(now, scope, Features{}, prior).Mean < route*5/4)
	// A value with a single sample.
	route = e.Estimate(now, scope, Features{}, prior).Mean
	once := NewFeatures(Attributes{Method: "POST", Path: "once"})
	e.Observe(now, scope, once, prior, 10*time.Minute)
	is.True(e.Estimate(now, scope, once, prior).Mean < 3*route)
}

// Guards against a mean over few samples that counts like one over many.
func TestShrinksTowardsTheRoute(t *testing.T) {
	is := is.New(t)
	var e Estimator
	random := rand.New(rand.NewPCG(7, 5))
	now := start
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		d := draw(random)
		e.Observe(now, scope, d.features(), prior, classWork(d.segment))
	}
	route := e.Estimate(now, scope, Features{}, prior).Mean
	fresh := drawn{segment: 9}.features()
	is.Equal(e.Estimate(now, scope, fresh, prior).Mean, route)
	last := route
	for range 20 {
		e.Observe(now, scope, fresh, prior, 2*time.Millisecond)
		got := e.Estimate(now, scope, fresh, prior).Mean
		is.True(got < last)
		last = got
	}
	is.True(last > 2*time.Millisecond)
	is.True(last < route/2)
}

// Guards against a mean of 0 that bounds all later samples to 0.
func TestRecoversFromZero(t *testing.T) {
	is := is.New(t)
	var e Estimator
	f := drawn{}.features()
	for range 500 {
		e.Observe(start, scope, f, prior, 0)
	}
	for range 500 {
		e.Observe(start, scope, f, prior, prior)
	}
	is.True(e.Estimate(start, scope, f, prior).Mean > prior*9/10)
}

// Guards against a spread or a tail that doesn't say how much the requests of a
// class differ.
func TestSpreadAndTail(t *testing.T) {
	is := is.New(t)
	var e Estimator
	random := rand.New(rand.NewPCG(8, 6))
	now := start
	work := func(d drawn) time.Duration {
		if d.segment == 4 { // one in five takes 21 times as long
			return []time.Duration{20, 20, 20, 20, 420}[random.IntN(5)] * time.Millisecond
		}
		return 100 * time.Millisecond
	}
	var tail float64
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		d := draw(random)
		e.Observe(now, scope, Features{Segment: d.features()[Segment]}, prior, work(d))
		if i >= 2000 {
			tail += e.entries.find(entryKey{route: 1, feature: Segment, value: drawn{segment: 4}.features()[Segment]}).tail / 2000
		}
	}
	steady := e.entries.find(entryKey{route: 1, feature: Segment, value: drawn{segment: 1}.features()[Segment]})
	is.True(steady.spread < 0.001)
	is.Equal(steady.tail, 0.0)
	is.True(tail > 0.1 && tail < 0.3)
}

// BenchmarkEstimate measures an estimate with all features known: under 1 us and
// without allocation.
func BenchmarkEstimate(b *testing.B) {
	e, list, now := learned()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e.Estimate(now, scope, list[i%len(list)], prior)
	}
}

// BenchmarkObserve measures adding a sample.
func BenchmarkObserve(b *testing.B) {
	e, list, now := learned()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e.Observe(now, scope, list[i%len(list)], prior, prior)
	}
}

// BenchmarkNewFeatures measures what a request adds at the ingress.
func BenchmarkNewFeatures(b *testing.B) {
	caller := []string{"Token 0123456789abcdef0123456789abcdef"}
	b.ReportAllocs()
	for b.Loop() {
		NewFeatures(Attributes{Method: "POST", Path: "reports/2026/12/06", Key: 7, Keyed: true, BodyBytes: 60000, Caller: caller})
	}
}

// Guards against entries that take much more memory than 1 MiB in total, on VMs of
// 144 MB.
func TestMemoryOfAFullEstimator(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var e Estimator
	for i := range uint64(3 * MaxEntries) {
		e.Observe(start, scope, Features{Path: i + 1, Caller: i + 1}, prior, prior)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d entries: %d bytes", e.Len(), used)
	if e.Len() != MaxEntries || used > 1<<20 {
		t.Fatal("too much memory")
	}
}

// Guards against an estimate that allocates.
func TestEstimateDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	e, list, now := learned()
	is.Equal(testing.AllocsPerRun(1000, func() { e.Estimate(now, scope, list[0], prior) }), 0.0)
}

func learned() (*Estimator, []Features, core.Instant) {
	var e Estimator
	random := rand.New(rand.NewPCG(9, 7))
	now := start
	var list []Features
	for range 4000 {
		now = now.Add(time.Millisecond)
		d := draw(random)
		list = append(list, d.features())
		e.Observe(now, scope, d.features(), prior, classWork(d.segment))
	}
	return &e, list, now
}
