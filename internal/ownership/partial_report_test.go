package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
)

// Guards against a partial report that drops the rates of a VM, and against lost owners
// that it doesn't report.
func TestPartialReportKeepsRates(t *testing.T) {
	is := is.New(t)
	l := newLoadReports()
	now := core.Instant(time.Hour)
	l.add(now, LoadReport{
		VM: "v0", UnitLoads: map[core.Service]map[int]float64{"s": {3: 5}}, ServiceTime: map[core.Target]time.Duration{"t": time.Second},
		Unreachable: []core.Target{"x"},
	})
	now = now.Add(250 * time.Millisecond)
	l.add(now, LoadReport{VM: "v0", Unreachable: []core.Target{"t"}, Partial: true})
	is.Equal(l.reported("s")[3], 5.0)
	is.Equal(l.meanServiceTime("t"), time.Second)
	is.Equal(l.unreachableReporters(now, "t"), []core.VM{"v0"})
	is.Equal(len(l.unreachableReporters(now, "x")), 0)
	l.add(now, LoadReport{VM: "v1", Unreachable: []core.Target{"t"}, Partial: true})
	is.Equal(len(l.unreachableReporters(now, "t")), 2)
}
