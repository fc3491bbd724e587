package memory

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against an account that holds more than its limit, or that loses what is
// released.
func TestAccountIsBounded(t *testing.T) {
	is := is.New(t)
	a := NewAccount(100)
	is.True(a.Take(60))
	is.True(!a.Take(41))
	is.True(!a.TakeSpare(1))
	is.True(a.Take(40))
	a.Give(60)
	is.True(a.TakeSpare(10))
	is.True(!a.TakeSpare(1))
	is.Equal(a.Used(), int64(50))
}

// Guards against two large bodies, one after the other, that both are in memory
// because the first isn't collected yet.
func TestGarbageIsCollectedBeforeItIsReplaced(t *testing.T) {
	is := is.New(t)
	collections := 0
	a := NewAccount(3 * largeBytes)
	a.collect = func() { collections++ }
	is.True(a.Take(2 * largeBytes))
	is.True(!a.Take(2 * largeBytes))
	is.Equal(collections, 0) // it would not help
	a.Give(2 * largeBytes)
	is.True(a.Take(largeBytes))
	is.Equal(collections, 0) // there is room beside the garbage
	is.True(a.Take(largeBytes))
	is.Equal(collections, 1)
	is.True(a.Take(largeBytes))
	is.Equal(collections, 1)
}

// Guards against bodies that leave no room for connections and requests without a body.
func TestBodiesLeaveRoom(t *testing.T) {
	for _, size := range []int64{largeBytes / 8, largeBytes} {
		is := is.New(t)
		a := NewAccount(64 * largeBytes)
		for a.TakeBody(size) {
			is.True(a.Used() <= a.Limit())
		}
		is.Equal(a.Used(), a.Limit()-a.Limit()/bodyReserve)
		is.True(a.Take(a.Limit() / bodyReserve))
	}
}

// Guards against a charge that is released twice, or that holds memory after its
// release, when an attempt ends later than its request.
func TestChargeIsReleasedOnce(t *testing.T) {
	is := is.New(t)
	a := NewAccount(100)
	c := a.NewCharge()
	is.True(c.Add(30))
	is.True(c.Add(20))
	c.Sub(20)
	c.Sub(20)
	is.Equal(a.Used(), int64(30))
	c.Release()
	c.Release()
	is.True(!c.Add(10))
	c.Sub(30)
	is.Equal(a.Used(), int64(0))
}

// Guards against amounts that are lost when many goroutines use an account.
func TestAccountIsConsistent(t *testing.T) {
	is := is.New(t)
	a := NewAccount(4 * largeBytes)
	var users sync.WaitGroup
	for range 8 {
		users.Go(func() {
			for range 50 {
				c := a.NewCharge()
				c.Add(largeBytes)
				c.Add(10)
				if used := a.Used(); used > a.Limit() {
					t.Errorf("%d bytes are held", used)
				}
				c.Release()
			}
		})
	}
	users.Wait()
	is.Equal(a.Used(), int64(0))
}

// Guards against a machine on which the largest body of a request doesn't fit, or on
// which the runtime may take all memory.
func TestLimitsOfMachines(t *testing.T) {
	is := is.New(t)
	const smallest, largestBody = 144_000_000, 64 << 20
	is.True(NewAccount(Limit(smallest)).TakeBody(largestBody * 5 / 4)) // a body of unknown length is copied once as it grows
	is.True(RuntimeLimit(smallest) < smallest)
	is.True(Limit(smallest) < RuntimeLimit(smallest))
	is.Equal(Limit(0), int64(DefaultLimit))
	is.True(Limit(10_000_000) > 0)
}
