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

// Guards against a plan whose policy is refused or has other sizes than
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
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err
	}
	if res.StatusCode == http.StatusOK && !strings.HasSuffix(string(answer), body) {
		return 0, errors.New("the answer isn't whole: " + string(answer))
	}
	if res.StatusCode == http.StatusGatewayTimeout {
		return res.StatusCode, errors.New(string(answer))
	}
	return res.StatusCode, nil
}

// balancer is a stand-in for the platform's load balancer: it stops sending
// to a VM at the first check that isn't ready.
type balancer struct {
	client   *http.Client
	vm       *VM
	plan     Plan
	ready    atomic.Bool
	stopping atomic.Bool
	sent     atomic.Int64
	late     atomic.Int64
	notRun   atomic.Int64
	faults   chan string
}

// checkInterval leaves time for requests between the stop's begin and the
// balancer's notice.
const checkInterval = 100 * time.Millisecond

func (b *balancer) check(done <-chan struct{}) {
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

// load sends bookings with different keys to a VM. If direct is false, the VM
// isn't the one that stops: it may answer that a request wasn't run.
func (b *balancer) load(client *http.Client, address string, worker int, direct bool, until func() bool) {
	for i := 0; !until(); i++ {
		late := b.stopping.Load()
		path := b.plan.BookingOf(fmt.Sprintf("%d-%d", worker, i))
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
			b.faults <- fmt.Sprintf("direct %v, late %v: status %d, %v", direct, late, status, err)
		}
	}
}

// Guards against a stop that cuts a request: under load on kept and on new
// connections, every booking gets its whole answer, also those that arrive
// between the stop's begin and the balancer's notice. Bookings that reach the
// stopping VM through another one are answered or truly not run.
func TestStopCutsNoRequest(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions(logr.Discard())
	o.VMsPerDomain, o.StopSettle = 2, 400*time.Millisecond
	d := startTest(t, "bratislava", o)
	kept := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	fresh := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	b := &balancer{client: fresh, vm: d.VMs[0], plan: d.Plan, faults: make(chan string, 1<<16)}
	b.ready.Store(true)
	done := make(chan struct{})
	go b.check(done)
	var load sync.WaitGroup
	var stopped atomic.Bool
	for i := range 12 {
		client := []*http.Client{kept, fresh}[i%2]
		load.Go(func() { b.load(client, b.vm.CallersAddress, i, true, func() bool { return !b.ready.Load() }) })
		load.Go(func() { b.load(client, d.VMs[3].CallersAddress, 100+i, false, stopped.Load) })
	}
	time.Sleep(500 * time.Millisecond)
	b.stopping.Store(true)
	began := time.Now()
	is.NoErr(b.vm.Stop(context.Background()))
	took := time.Since(began)
	stopped.Store(true)
	load.Wait()
	close(done)
	close(b.faults)
	for fault := range b.faults {
		t.Error(fault)
	}
	t.Logf("%d bookings, %d of them sent after the stop began, %d not run; the stop took %v", b.sent.Load(), b.late.Load(), b.notRun.Load(), took)
	is.True(b.late.Load() > 0)
	is.True(took < o.StopTimeout)
	_, err := post(fresh, "http://"+b.vm.CallersAddress+d.Plan.Booking, "body")
	is.True(errors.Is(err, syscall.ECONNREFUSED))
}

// Guards against a stop that waits for a request longer than the settings say:
// here for a body that never arrives, up to the read timeout of 30 s.
func TestStopIsBounded(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions(logr.Discard())
	o.VMsPerDomain, o.StopTimeout, o.StopSettle = 1, 200*time.Millisecond, 50*time.Millisecond
	d := startTest(t, "bratislava", o)
	c, err := net.Dial("tcp", d.VMs[0].CallersAddress)
	is.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n", d.Plan.Booking)
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	is.NoErr(d.VMs[0].Stop(context.Background()))
	t.Logf("the stop took %v", time.Since(began))
	is.True(time.Since(began) < 10*time.Second)
}
