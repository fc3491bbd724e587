package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/policy"
)

// Guards against a plan whose policy is invalid or differs in size from
// docs/design.md section 1.1.
func TestPlans(t *testing.T) {
	for name, want := range map[string]int{"bratislava": 26, "great-lakes": 36} {
		is := is.New(t)
		targets := Plans[name].targets()
		for i := range targets {
			targets[i].address = fmt.Sprintf("127.0.0.1:%d", 9000+i)
		}
		p, err := policy.Parse([]byte(Plans[name].document(targets)))
		is.NoErr(err)
		is.Equal(len(p.Targets), want)
		is.Equal(len(p.FailureDomains), 3)
	}
}

func startTest(t *testing.T, name string, o Options) *Deployment {
	t.Helper()
	d, err := Start(context.Background(), Plans[name], o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Stop(context.Background()) })
	return d
}

func post(client *http.Client, url, body string) (int, error) {
	res, err := client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	response, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err
	}
	if res.StatusCode == http.StatusOK && !strings.HasSuffix(string(response), body) {
		return 0, errors.New("incomplete response: " + string(response))
	}
	if res.StatusCode == http.StatusGatewayTimeout {
		return res.StatusCode, errors.New(string(response))
	}
	return res.StatusCode, nil
}

// loadBalancer simulates the platform's load balancer. It stops sending to a VM
// after the first failed readiness check.
type loadBalancer struct {
	client   *http.Client
	vm       *VM
	plan     Plan
	ready    atomic.Bool
	stopping atomic.Bool
	sent     atomic.Int64
	late     atomic.Int64 // sent after the stop began
	notRun   atomic.Int64
	failures chan string
}

// checkInterval is long enough that requests still arrive between the start of
// a stop and the next readiness check.
const checkInterval = 100 * time.Millisecond

func (b *loadBalancer) check(done <-chan struct{}) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		res, err := b.client.Get("http://" + b.vm.OperatorsAddress + "/readyz")
		if err != nil {
			return
		}
		_ = res.Body.Close()
		b.ready.Store(res.StatusCode == http.StatusOK)
	}
}

// sendBookings sends bookings with different keys to a VM until done returns
// true. If direct is false, the VM is not the one that stops, and status 503
// for a request that was not run is allowed.
func (b *loadBalancer) sendBookings(client *http.Client, address string, worker int, direct bool, done func() bool) {
	for i := 0; !done(); i++ {
		late := b.stopping.Load()
		path := b.plan.BookingPathFor(fmt.Sprintf("%d-%d", worker, i))
		status, err := post(client, "http://"+address+path, "body")
		b.sent.Add(1)
		if late {
			b.late.Add(1)
		}
		switch {
		case err == nil && status == http.StatusOK:
		case err == nil && status == http.StatusServiceUnavailable && !direct:
			b.notRun.Add(1)
		default:
			b.failures <- fmt.Sprintf("direct %v, late %v: status %d, %v", direct, late, status, err)
		}
	}
}

// Guards against a stop that closes connections with requests in flight. Under
// load on persistent and on new connections, every booking must get a complete
// response, even if it arrives after the stop began and before the load
// balancer noticed. Bookings that reach the stopping VM through another VM may
// get status 503 instead.
func TestStopCutsNoRequest(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions(logr.Discard())
	o.VMsPerDomain, o.StopSettle = 2, 400*time.Millisecond
	d := startTest(t, "bratislava", o)
	persistent := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	perRequest := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	b := &loadBalancer{client: perRequest, vm: d.VMs[0], plan: d.Plan, failures: make(chan string, 1<<16)}
	b.ready.Store(true)
	done := make(chan struct{})
	go b.check(done)
	var workers sync.WaitGroup
	var stopped atomic.Bool
	for i := range 12 {
		client := []*http.Client{persistent, perRequest}[i%2]
		workers.Go(func() { b.sendBookings(client, b.vm.CallersAddress, i, true, func() bool { return !b.ready.Load() }) })
		workers.Go(func() { b.sendBookings(client, d.VMs[3].CallersAddress, 100+i, false, stopped.Load) })
	}
	time.Sleep(500 * time.Millisecond)
	b.stopping.Store(true)
	start := time.Now()
	is.NoErr(b.vm.Stop(context.Background()))
	elapsed := time.Since(start)
	stopped.Store(true)
	workers.Wait()
	close(done)
	close(b.failures)
	for failure := range b.failures {
		t.Error(failure)
	}
	t.Logf("%d bookings, %d of them sent after the stop began, %d not run; the stop took %v", b.sent.Load(), b.late.Load(), b.notRun.Load(), elapsed)
	is.True(b.late.Load() > 0)
	is.True(elapsed < o.StopTimeout)
	_, err := post(perRequest, "http://"+b.vm.CallersAddress+d.Plan.BookingPath, "body")
	is.True(errors.Is(err, syscall.ECONNREFUSED))
}

// Guards against a stop that waits for a request longer than the stop timeout:
// without the bound, it would wait for a body that never arrives until the read
// timeout of 30 s.
func TestStopIsBounded(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions(logr.Discard())
	o.VMsPerDomain, o.StopTimeout, o.StopSettle = 1, 200*time.Millisecond, 50*time.Millisecond
	d := startTest(t, "bratislava", o)
	c, err := net.Dial("tcp", d.VMs[0].CallersAddress)
	is.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n", d.Plan.BookingPath)
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	start := time.Now()
	is.NoErr(d.VMs[0].Stop(context.Background()))
	t.Logf("the stop took %v", time.Since(start))
	is.True(time.Since(start) < 10*time.Second)
}
