package eventqueue

import (
	"testing"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
)

// Guards against simulations whose order depends on the heap: events of the same
// time are returned in the order of addition, and none after the end.
func TestQueueOrder(t *testing.T) {
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
		e.Run()
	}
	is.Equal(got, []int{1, 4, 3, 0, 2})
}
