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

// Options change how a deployment runs.
type Options struct {
	// VMsPerDomain is how many entry VMs each failure domain has.
	VMsPerDomain int
	// ServiceTime is how long a run at a target takes.
	ServiceTime time.Duration
	// StopTimeout and StopSettle are those of each entry VM.
	StopTimeout, StopSettle time.Duration
	Log                     logr.Logger
}

// DefaultOptions suit a demo: nine entry VMs and quick targets.
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
	Targets  int

	client  *http.Client
	cancel  context.CancelFunc
	servers []*http.Server
	running sync.WaitGroup
}

// VM is one entry VM of a deployment.
type VM struct {
	settings.Entry
	app *fx.App
}

// Stop ends the VM as SIGTERM would.
func (v *VM) Stop(ctx context.Context) error {
	if err := v.app.Stop(ctx); err != nil {
		return fmt.Errorf("demo: stop VM %s: %w", v.VM, err)
	}
	return nil
}

// Start runs a plan. It returns once every VM is ready.
func Start(ctx context.Context, p Plan, o Options) (*Deployment, error) {
	running, cancel := context.WithCancel(context.Background())
	d := &Deployment{
		Plan: p, cancel: cancel,
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if err := d.start(ctx, running, o); err != nil {
		_ = d.Stop(ctx)
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx, running context.Context, o Options) error {
	store := platform.NewServer()
	address, err := d.serve(running, store, store.Run)
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
		if targets[i].address, err = d.serve(running, s, s.Run); err != nil {
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

// serve runs a stand-in on a port that the kernel picks.
func (d *Deployment) serve(ctx context.Context, h http.Handler, run func(context.Context)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("demo: listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	d.servers = append(d.servers, s)
	d.running.Go(func() { run(ctx) })
	d.running.Go(func() { _ = s.Serve(l) })
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

// readyWait bounds how long a deployment may take to be ready.
const readyWait = 30 * time.Second

// bookingProbes is how many bookings with different keys are tried before the
// deployment counts as ready.
const bookingProbes = 64

// waitReady waits until every VM is ready and answers a lookup, then until
// bookings of many keys run: ranges still move while VMs join.
func (d *Deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for _, v := range d.VMs {
		for _, url := range []string{"http://" + v.OperatorsAddress + "/readyz", "http://" + v.CallersAddress + d.Plan.Lookup} {
			if err := d.waitFor(ctx, http.MethodGet, url); err != nil {
				return fmt.Errorf("demo: VM %s isn't ready: %w", v.VM, err)
			}
		}
	}
	for i := range bookingProbes {
		v := d.VMs[i%len(d.VMs)]
		if err := d.waitFor(ctx, http.MethodPost, "http://"+v.CallersAddress+d.Plan.BookingOf(fmt.Sprintf("probe-%d", i))); err != nil {
			return fmt.Errorf("demo: VM %s doesn't take bookings: %w", v.VM, err)
		}
	}
	return nil
}

// waitFor repeats a request until it is answered with status 200. The error is
// the last reason why it was not.
func (d *Deployment) waitFor(ctx context.Context, method, url string) error {
	var last error
	for {
		err := d.try(ctx, method, url)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (d *Deployment) try(ctx context.Context, method, url string) error {
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

// Stop ends all VMs at the same time, then the stand-ins.
func (d *Deployment) Stop(ctx context.Context) error {
	errs := make([]error, len(d.VMs))
	var stopping sync.WaitGroup
	for i, v := range d.VMs {
		stopping.Go(func() { errs[i] = v.Stop(ctx) })
	}
	stopping.Wait()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.cancel()
	d.running.Wait()
	return errors.Join(errs...)
}
