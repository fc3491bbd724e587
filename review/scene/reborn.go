package main

import (
	"context"
	"fmt"
	"time"

	"celeryhook.example/celeryhook/standin/platform"
)

const (
	// outageTime is how long the store is away, and cutTime how long one server is
	// cut off from all machines meanwhile.
	outageTime = 8 * time.Second
	cutTime    = 5 * time.Second
	// downTime is how long the server that crashes is down.
	downTime = 500 * time.Millisecond
	coldTime = 3 * time.Second
)

// rebornServer plays a crash of one server behind a cut while the store is away: it
// starts again under its id and at its address, and can't register.
func rebornServer(ctx context.Context, s *scene) error {
	if err := s.configure(1, true, route{"/desk/", "safe", "desk", 1500 * time.Millisecond}); err != nil {
		return err
	}
	var last *server
	for i := range 8 {
		srv, err := startServer(s.world, fmt.Sprintf("desk-%d", i), "desk", zones[i%len(zones)], "127.0.0.1:0", 24, true, 0, nil)
		if err != nil {
			return err
		}
		last = srv
	}
	path, err := newLink(last.address)
	if err != nil {
		return err
	}
	defer path.close()
	last.advertised = path.address()
	for _, srv := range s.servers {
		go srv.registerEvery()
	}
	if err := s.startGateways(ctx); err != nil {
		return err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	load{method: "GET", path: "/desk/60", keys: allKeys(), callers: 60, pause: 5 * time.Millisecond, deadline: 1200 * time.Millisecond}.run(traffic, s, "list", s.gateways)
	sleep(ctx, 5*time.Second)
	if !s.trouble {
		sleep(ctx, outageTime+6*time.Second)
		return nil
	}
	s.storeAway.Store(true)
	s.store.SetFaults(platform.Faults{Down: true})
	s.record("the store is away")
	away := time.Now()
	sleep(ctx, 500*time.Millisecond)
	path.cut()
	s.record("server %s is cut off", last.id)
	cut := time.Now()
	sleep(ctx, 200*time.Millisecond)
	last.stop()
	sleep(ctx, downTime)
	again, err := startServer(s.world, last.id, last.service, last.zone, last.address, last.slots, true, coldTime, nil)
	if err != nil {
		return err
	}
	again.advertised = path.address()
	s.record("server %s starts again (born %d), cold for %v", again.id, again.startedAt.UnixMilli(), coldTime)
	go again.registerEvery()
	sleep(ctx, time.Until(cut.Add(cutTime)))
	path.heal()
	s.record("server %s is no longer cut off", last.id)
	sleep(ctx, time.Until(away.Add(outageTime)))
	s.store.SetFaults(platform.Faults{})
	s.storeAway.Store(false)
	s.record("the store is back")
	sleep(ctx, 6*time.Second)
	return nil
}
