package main

import (
	"context"
	"fmt"
	"time"
)

// uploaders is how many clients send large bodies at the same time.
const uploaders = 2

// bodyBytes is the size of their bodies, three quarters of what the configuration
// allows. It arrives within the deadline.
const bodyBytes = 48 << 20

// uploadBytesPerSecond is how fast each of them sends. Both together leave more than a
// fifth of the machine's link free.
const uploadBytesPerSecond = 36_000_000

// largeBodies sends bodies that the limits of the configuration allow to one
// machine, beside ordinary requests.
func largeBodies(ctx context.Context, s *scene) error {
	s.size = smallSize
	err := s.configure(1, false, route{"/list/", "safe", "desk", 1500 * time.Millisecond}, route{"/book/", "unsafe", "desk", 1500 * time.Millisecond})
	if err != nil {
		return err
	}
	for i := range 4 {
		srv, err := startServer(s.world, fmt.Sprintf("desk-%d", i), "desk", zones[i%len(zones)], "127.0.0.1:0", 24, false, 0, nil)
		if err != nil {
			return err
		}
		go srv.registerEvery()
	}
	if err := s.startGateways(ctx); err != nil {
		return err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	load{method: "GET", path: "/list/150", callers: 45, pause: 5 * time.Millisecond, deadline: 1200 * time.Millisecond}.run(traffic, s, "list", s.gateways)
	sleep(ctx, 4*time.Second)
	uploads := load{
		method: "POST", path: "/book/150", callers: uploaders, requests: 4, pause: 100 * time.Millisecond, deadline: 1500 * time.Millisecond,
		body: bodyBytes, bytesPerSecond: uploadBytesPerSecond,
	}
	if !s.trouble {
		uploads.body = 24_000
	}
	uploads.run(ctx, s, "upload", s.gateways[:1])
	sleep(ctx, 12*time.Second)
	return nil
}
