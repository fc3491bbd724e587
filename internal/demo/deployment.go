package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"celeryhook.example/celeryhook/internal/app"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/settings"
	"celeryhook.example/celeryhook/standin/platform"
	"celeryhook.example/celeryhook/standin/target"
)

// Options configure a deployment.
type Options struct {
	// VMsPerDomain is the number of entry VMs in each failure domain.
	VMsPerDomain int
	// ServiceTime is the time that a target takes to run a request.
	ServiceTime time.Duration
	// StopTimeout and StopSettle are settings of each entry VM.
	StopTimeout, StopSettle time.Duration
	Log                     logr.Logger
}

// DefaultOptions returns the options of the demo command: three entry VMs in
// each failure domain and targets with a short service time.
func DefaultOptions(log logr.Logger) Options {
	return Options{
		VMsPerDomain: 3, ServiceTime: 5 * time.Millisecond,
		StopTimeout: 10 * time.Second, StopSettle: 200 * time.Millisecond, Log: log,
	}
}

// Deployment is a running deployment.
type Deployment struct {
	Plan     Plan
	Document string
	// Platform is the base URL of the platform's stand-in.
	Platform string
	VMs      []*VM
	// Targets is the number of targets.
	Targets int

	client  *http.Client
	cancel  context.CancelFunc
	servers []*http.Server
	wg      sync.WaitGroup
}

// VM is an entry VM of a deployment.
type VM struct {
	settings.Entry
	app *fx.App
}

// Stop stops the VM in the same way as SIGTERM does.
func (v *VM) Stop(ctx context.Context) error {
	if err := v.app.Stop(ctx); err != nil {
		return fmt.Errorf("demo: stop VM %s: %w", v.VM, err)
	}
	return nil
}

// Start starts a deployment and returns once every VM is ready.
func Start(ctx context.Context, p Plan, o Options) (*Deployment, error) {
	runCtx, cancel := context.WithCancel(context.Background())
	d := &Deployment{
		Plan: p, cancel: cancel,
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if err := d.start(ctx, runCtx, o); err != nil {
		_ = d.Stop(ctx)
		return nil, err
	}
	return d, nil
}

// start starts the stand-ins and the VMs. ctx bounds the start, runCtx the
// lifetime of the stand-ins.
func (d *Deployment) start(ctx, runCtx context.Context, o Options) error {
	store := platform.NewServer()
	address, err := d.serve(runCtx, store, store.Run)
	if err != nil {
		return err
	}
	d.Platform = "http://" + address
	targets := d.Plan.targets()
	d.Targets = len(targets)
	for i, t := range targets {
		s := target.NewServer(target.Options{
			ID: t.id, Slots: t.service.Slots, Checks: true, Incarnation: uint64(i + 1),
		}, o.ServiceTime, nil)
		if targets[i].address, err = d.serve(runCtx, s, s.Run); err != nil {
			return err
		}
	}
	d.Document = d.Plan.document(targets)
	if err := d.appendPolicy(ctx); err != nil {
		return err
	}
	for _, domain := range d.Plan.FailureDomains {
		for i := range o.VMsPerDomain {
			if err := d.startVM(ctx, core.VM(fmt.Sprintf("%s-vm%d", domain, i+1)), domain, o); err != nil {
				return err
			}
		}
	}
	return d.waitReady(ctx)
}

// serve runs a stand-in on a free local port and returns its address.
func (d *Deployment) serve(ctx context.Context, h http.Handler, run func(context.Context)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("demo: listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	d.servers = append(d.servers, s)
	d.wg.Go(func() { run(ctx) })
	d.wg.Go(func() { _ = s.Serve(l) })
	return l.Addr().String(), nil
}

func (d *Deployment) log() *platformlog.HTTPLog { return platformlog.NewHTTPLog(d.Platform, d.client) }

func (d *Deployment) appendPolicy(ctx context.Context) error {
	record := platformlog.Record{Kind: platformlog.KindPolicy, ID: "demo-policy", Author: "demo", Document: d.Document}
	data, err := record.Encode()
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if _, err := d.log().Append(ctx, data); err != nil {
		return fmt.Errorf("demo: append the policy: %w", err)
	}
	return nil
}

func (d *Deployment) startVM(ctx context.Context, id core.VM, domain core.FailureDomain, o Options) error {
	s := settings.Entry{
		VM: id, FailureDomain: domain, Capacity: 1,
		CallersAddress: "127.0.0.1:0", PeersAddress: "127.0.0.1:0", OperatorsAddress: "127.0.0.1:0",
		Callers:  settings.Callers{HeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, IdleTimeout: time.Minute, HeaderBytes: 64 << 10},
		Platform: d.Platform, TraceExporter: "none", StopTimeout: o.StopTimeout, StopSettle: o.StopSettle,
	}
	for _, v := range d.VMs {
		s.Peers = append(s.Peers, settings.Peer{VM: v.VM, FailureDomain: v.FailureDomain, Address: v.PeersAddress})
	}
	var p *app.Process
	a := fx.New(app.Module(s, o.Log), fx.Populate(&p))
	if err := a.Start(ctx); err != nil {
		return fmt.Errorf("demo: start VM %s: %w", id, err)
	}
	d.VMs = append(d.VMs, &VM{Entry: p.Settings(), app: a})
	return nil
}

// readyTimeout bounds the time until a deployment is ready.
const readyTimeout = 30 * time.Second

// bookingProbes is the number of bookings with different keys that must
// succeed before the deployment counts as ready.
const bookingProbes = 64

// waitReady waits until every VM is ready and serves a lookup, and then until
// bookings with many keys succeed, as ranges still move while VMs join.
func (d *Deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, v := range d.VMs {
		for _, url := range []string{"http://" + v.OperatorsAddress + "/readyz", "http://" + v.CallersAddress + d.Plan.LookupPath} {
			if err := d.waitForOK(ctx, http.MethodGet, url); err != nil {
				return fmt.Errorf("demo: VM %s isn't ready: %w", v.VM, err)
			}
		}
	}
	for i := range bookingProbes {
		v := d.VMs[i%len(d.VMs)]
		if err := d.waitForOK(ctx, http.MethodPost, "http://"+v.CallersAddress+d.Plan.BookingPathFor(fmt.Sprintf("probe-%d", i))); err != nil {
			return fmt.Errorf("demo: VM %s doesn't take bookings: %w", v.VM, err)
		}
	}
	return nil
}

// waitForOK repeats a request until the response has status 200. If ctx ends
// first, it returns the error of the last attempt.
func (d *Deployment) waitForOK(ctx context.Context, method, url string) error {
	var lastErr error
	for {
		err := d.send(ctx, method, url)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil {
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return lastErr
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (d *Deployment) send(ctx context.Context, method, url string) error {
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return fmt.Errorf("%s: %w", url, err)
	}
	res, err := d.client.Do(r)
	if err != nil {
		return fmt.Errorf("%s: %w", url, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(res.Body, 1000))
		return fmt.Errorf("%s: status %d: %s", url, res.StatusCode, reason)
	}
	return nil
}

// Stop stops all VMs concurrently, then the stand-ins.
func (d *Deployment) Stop(ctx context.Context) error {
	errs := make([]error, len(d.VMs))
	var wg sync.WaitGroup
	for i, v := range d.VMs {
		wg.Go(func() { errs[i] = v.Stop(ctx) })
	}
	wg.Wait()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.cancel()
	d.wg.Wait()
	return errors.Join(errs...)
}
