package virtual

import (
	"testing"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
)

// Guards against schedules that change with the order of a heap: events of one
// instant happen as they were added, and none after the end.
func TestQueueKeepsOrder(t *testing.T) {
	is := is.New(t)
	var q Queue
	var got []int
	for i, at := range []int{5, 1, 5, 3, 1, 9} {
		q.Add(core.Instant(at), func() { got = append(got, i) })
	}
	for {
		e, ok := q.Next(core.Instant(5))
		if !ok {
			break
		}
		e.Do()
	}
	is.Equal(got, []int{1, 4, 3, 0, 2})
}
