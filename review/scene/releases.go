package main

import (
	"context"
	"fmt"
	"time"
)

// releaseCase drains the servers of a service that is divided by key, one after the
// other, while the one that drains gives some wrong responses to releases.
func releaseCase(kind string, share float64) func(context.Context, *scene) error {
	return func(ctx context.Context, s *scene) error {
		err := s.configure(1, true, route{"/desk/", "safe", "desk", 1500 * time.Millisecond})
		if err != nil {
			return err
		}
		var servers []*server
		for i := range 9 {
			t := &trouble{kind: kind, share: share}
			srv, err := startServer(s.world, fmt.Sprintf("desk-%d", i), "desk", zones[i%len(zones)], "127.0.0.1:0", 24, true, 0, t)
			if err != nil {
				return err
			}
			servers = append(servers, srv)
			go srv.registerEvery()
		}
		if err := s.startGateways(ctx); err != nil {
			return err
		}
		traffic, stop := context.WithCancel(ctx)
		defer stop()
		l := load{method: "GET", path: "/desk/400", keys: allKeys(), callers: 150, pause: 5 * time.Millisecond, deadline: 1200 * time.Millisecond}
		l.run(traffic, s, "list", s.gateways)
		sleep(ctx, 4*time.Second)
		for _, srv := range servers[:2] {
			if s.trouble {
				srv.trouble.enable(srv)
			}
			sleep(ctx, 2700*time.Millisecond)
			srv.drain()
			sleep(ctx, 2200*time.Millisecond)
			srv.trouble.disable()
			s.record("server %s gave %d wrong responses", srv.id, srv.trouble.wrong)
			sleep(ctx, 2*time.Second)
			srv.mu.Lock()
			srv.state = "removed"
			srv.mu.Unlock()
			s.store.Put("keyed.servers", srv.id, nil)
			srv.stop()
			sleep(ctx, 3*time.Second)
		}
		return nil
	}
}

func allKeys() []int {
	out := make([]int, keyCount)
	for i := range out {
		out[i] = i
	}
	return out
}
