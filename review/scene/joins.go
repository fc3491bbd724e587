package main

import (
	"context"
	"fmt"
	"time"
)

// coldTime is how long a server that joins is cold.
const coldTime = 3 * time.Second

// joinCase lets two servers join a service that is divided by key, one after the
// other, while some of the others send second copies of their responses to orders.
// The busy keys are close to one another.
func joinCase(ctx context.Context, s *scene) error {
	if err := s.configure(1, true, route{"/desk/", "safe", "desk", 1500 * time.Millisecond}); err != nil {
		return err
	}
	const count = 8
	var troubled []*server
	for i := range count {
		t := &trouble{kind: "extra-late", share: 0.03}
		srv, err := startServer(s.world, fmt.Sprintf("desk-%d", i), "desk", zones[i%len(zones)], "127.0.0.1:0", 24, true, 0, t)
		if err != nil {
			return err
		}
		if i%2 == 0 {
			troubled = append(troubled, srv)
		}
		go srv.registerEvery()
	}
	if err := s.startGateways(ctx); err != nil {
		return err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	load{method: "GET", path: "/desk/400", keys: allKeys()[:1024], callers: 120, pause: 5 * time.Millisecond, deadline: 1200 * time.Millisecond}.run(traffic, s, "list", s.gateways)
	sleep(ctx, 5*time.Second)
	for i := range 2 {
		srv, err := startServer(s.world, fmt.Sprintf("desk-%d", count+i), "desk", zones[i], "127.0.0.1:0", 24, true, coldTime, nil)
		if err != nil {
			return err
		}
		s.record("server %s joins", srv.id)
		go srv.registerEvery()
		sleep(ctx, coldTime-500*time.Millisecond)
		for _, t := range troubled {
			if s.trouble {
				t.trouble.enable(t)
			}
		}
		sleep(ctx, 4900*time.Millisecond)
		for _, t := range troubled {
			t.trouble.disable()
			s.record("server %s gave %d wrong responses so far", t.id, t.trouble.wrong)
		}
	}
	return nil
}
