package ingress

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/cost"
	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/internal/upstream"
)

func answer(context.Context, int, *upstream.Request) (*upstream.Response, error) {
	return &upstream.Response{Status: 200, Stamped: true, Header: http.Header{"Stamp": {"s"}}}, nil
}

// Guards against features that are computed without load control.
func TestNoFeaturesWithoutLoadControl(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answer)
	is.Equal(f.send(t, "POST", "/safe/a/b", "1").StatusCode, 200)
	is.Equal(f.balancer.requests[0].Features, cost.Features{})
	is.Equal(f.balancer.dones[0].Features, cost.Features{})
}

// Guards against features that don't describe the request, and against a result
// with others than the decision.
func TestFeaturesOfARequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answer)
	f.Routes.Apply(routing.Config{
		Version: 2, LoadControl: true, Services: []routing.Service{{Name: "s"}, {Name: "sharded", Sharded: true}},
		Routes: []routing.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Timeout: 2 * time.Second, Backends: []routing.Backend{{Service: "s", Weight: 1}}, MaxAttempts: 2},
			{Name: "keyed", Host: "h", Prefix: "/keyed/", Timeout: 2 * time.Second, Backends: []routing.Backend{{Service: "sharded", Weight: 1}}, MaxAttempts: 2},
		},
	})
	is.Equal(f.send(t, "POST", "/safe/a/b?c=d", "1").StatusCode, 200)
	is.Equal(f.send(t, "POST", "/keyed/a/b", "2").StatusCode, 200)
	expected := cost.Attributes{Method: "POST", Path: "a/b", BodyBytes: len("body"), Caller: []string{"127.0.0.1"}}
	is.Equal(f.balancer.requests[0].Features, cost.NewFeatures(expected))
	is.Equal(f.balancer.dones[0].Features, cost.NewFeatures(expected))
	expected.Key, expected.Keyed = 7, true
	is.Equal(f.balancer.requests[1].Features, cost.NewFeatures(expected))
}

// Guards against one caller's requests that count as another's, and against a
// caller that is known by its address although it has credentials.
func TestCallerIsKnownByItsCredentials(t *testing.T) {
	is := is.New(t)
	caller := func(address string, h http.Header) []string {
		r := &request{httpRequest: &http.Request{RemoteAddr: address, Header: h}}
		return r.caller()
	}
	is.Equal(caller("192.0.2.1:80", nil), []string{"192.0.2.1"})
	is.Equal(caller("192.0.2.1:80", http.Header{"Authorization": {"a"}}), caller("192.0.2.2:80", http.Header{"Authorization": {"a"}}))
	is.Equal(caller("broken", nil), []string{"broken"})
}
