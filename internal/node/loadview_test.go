package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/roster"
	"celeryhook.example/celeryhook/internal/routing"
)

// Guards against reports that come more often, or messages to the balancer, although no
// service has load control.
func TestExchangeOnlyWithLoadControl(t *testing.T) {
	is := is.New(t)
	n := &Process{balanceRing: ring.New[balance.Message]("balance", 4, ring.Reject)}
	r := roster.New(roster.Member{VM: "v0"})
	n.members.Store(r.View())
	configure := func(version int64, on bool) {
		is.True(n.routes.Apply(routing.Config{Version: version, LoadControl: on, Services: []routing.Service{{Name: "s"}}}))
	}
	is.Equal(n.exchangeInterval(), reportInterval) // no configuration yet
	configure(1, false)
	is.Equal(n.exchangeInterval(), reportInterval)
	_, ok := n.observations(context.Background())
	is.True(!ok)
	is.Equal(n.balanceRing.Len(), 0)
	configure(2, true)
	is.Equal(n.exchangeInterval(), 250*time.Millisecond)
	go func() {
		m := (<-n.balanceRing.C()).(balance.ObservationsRequest)
		m.Reply <- balance.Observations{Unreachable: []core.Target{"t"}}
	}()
	o, ok := n.observations(context.Background())
	is.True(ok)
	is.Equal(o.Unreachable, []core.Target{"t"})
}

// Guards against a lost owner that isn't reported before the next load report.
func TestNewlyUnreachable(t *testing.T) {
	is := is.New(t)
	is.True(newlyUnreachable(nil, []core.Target{"a"}))
	is.True(newlyUnreachable([]core.Target{"a"}, []core.Target{"a", "b"}))
	is.True(!newlyUnreachable([]core.Target{"a", "b"}, []core.Target{"b"}))
	is.True(!newlyUnreachable(nil, nil))
}
