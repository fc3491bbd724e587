package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"go.uber.org/fx"

	"celeryhook.example/celeryhook/internal/node"
	"celeryhook.example/celeryhook/platform"
	standin "celeryhook.example/celeryhook/standin/platform"
	"celeryhook.example/celeryhook/standin/target"
	"celeryhook.example/celeryhook/standin/wire"
)

// progressTimeout is a generous bound for liveness; safety is checked without
// a delay.
const progressTimeout = 60 * time.Second

// config returns a configuration whose route "read" has the prefix lookups.
func config(version int, lookups string) wire.Config {
	return wire.Config{
		Version: version, Timeout: 5 * time.Second,
		Routes: []wire.Route{
			{Name: "read", Prefix: lookups, Service: "desk"},
			{Name: "book", Prefix: "/book/", Unsafe: true, Service: "desk"},
			{Name: "seat", Prefix: "/seat/", Service: "seats"},
		},
		Services: []wire.ServiceOptions{
			{Name: "desk", MaxConns: 110, Cold: time.Second, ColdRate: 21},
			{Name: "seats", MaxConns: 110, Cold: time.Second, ColdRate: 21, Sharded: true},
		},
	}
}

// deployment is a store, target servers and gateway VMs on loopback.
type deployment struct {
	t       *testing.T
	store   *wire.Store
	address string
	servers []*wire.Server
	vms     []*vm
	next    int
	mu      sync.Mutex
}

type vm struct {
	name, zone                   string
	callers, ready, mesh, config string
	metrics                      string
	app                          *fx.App
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, store: wire.NewStore()}
	s := httptest.NewServer(d.store)
	t.Cleanup(s.Close)
	d.address = strings.TrimPrefix(s.URL, "http://")
	d.configure(config(1, "/read/"))
	for i := range 3 {
		for _, service := range []string{"desk", "seats"} {
			d.server(wire.ServerOptions{ID: fmt.Sprint(service, i), Service: service, Zone: fmt.Sprint("z", i%2), Slots: 8, Sharded: service == "seats"})
		}
	}
	t.Cleanup(d.stopAll)
	for i := range 3 {
		d.vm(fmt.Sprint("v", i), fmt.Sprint("z", i%2))
	}
	for _, v := range d.vms {
		d.waitUntil("VM "+v.name+" is ready", func() bool { return d.isReady(v) })
	}
	return d
}

func (d *deployment) configure(c wire.Config) {
	is.New(d.t).NoErr(d.store.Configure(c))
}

func (d *deployment) server(o wire.ServerOptions) *wire.Server {
	s, err := wire.StartServer(d.store, o)
	is.New(d.t).NoErr(err)
	d.t.Cleanup(s.Stop)
	d.servers = append(d.servers, s)
	return s
}

// takenAddresses holds the addresses that freeAddress has returned.
var takenAddresses sync.Map

// freeAddress returns a loopback address whose port is unused, and returns none
// twice: the kernel may choose a port again before the VM that it is meant for
// listens there, or while that VM is down. Outgoing connections have the local
// address 127.0.0.1, so that none of them takes the port.
func freeAddress(t *testing.T) string {
	for {
		l, err := net.Listen("tcp", "127.1.0.1:0")
		is.New(t).NoErr(err)
		is.New(t).NoErr(l.Close())
		if _, taken := takenAddresses.LoadOrStore(l.Addr().String(), true); !taken {
			return l.Addr().String()
		}
	}
}

func (d *deployment) vm(name, zone string) *vm {
	v := &vm{name: name, zone: zone, metrics: freeAddress(d.t), callers: freeAddress(d.t), ready: freeAddress(d.t), mesh: freeAddress(d.t), config: filepath.Join(d.t.TempDir(), "settings.json")}
	var seeds []string
	for _, o := range d.vms {
		seeds = append(seeds, o.mesh)
	}
	b, err := wire.VM{
		Name: name, IP: "127.0.0.1", Zone: zone, Seeds: seeds, Callers: v.callers, Ready: v.ready, Peers: v.mesh, Store: d.address,
	}.Settings()
	is.New(d.t).NoErr(err)
	is.New(d.t).NoErr(os.WriteFile(v.config, b, 0o600))
	d.vms = append(d.vms, v)
	d.start(v)
	return v
}

func (d *deployment) start(v *vm) {
	p, s, err := platform.Open(v.config)
	is.New(d.t).NoErr(err)
	v.app = fx.New(node.Module(s, p, node.Options{TraceExporter: "none", MetricsAddress: v.metrics}, logr.Discard()))
	is.New(d.t).NoErr(v.app.Start(context.Background()))
}

func (d *deployment) stop(v *vm) {
	if v.app == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_ = v.app.Stop(ctx)
	v.app = nil
}

func (d *deployment) stopAll() {
	var stopped sync.WaitGroup
	for _, v := range d.vms {
		stopped.Add(1)
		go func() {
			defer stopped.Done()
			d.stop(v)
		}()
	}
	stopped.Wait()
}

func (d *deployment) isReady(v *vm) bool {
	res, err := http.Get("http://" + v.ready + wire.ReadyPath)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (d *deployment) waitUntil(condition string, done func() bool) {
	d.t.Helper()
	for end := time.Now().Add(progressTimeout); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("not within %v: %s", progressTimeout, condition)
		}
	}
}

// response is what a caller received.
type response struct {
	id, body string
	status   int
	stamped  bool
}

// send sends one request with a new id and a body of its own.
func (d *deployment) send(v *vm, method, path string, key int) (response, error) {
	id := d.newID()
	return d.sendBody(v, method, path, key, id, "body of "+id)
}

func (d *deployment) newID() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	return fmt.Sprint("r", d.next)
}

func (d *deployment) sendBody(v *vm, method, path string, key int, id, body string) (response, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+v.callers+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Host, req.Header = wire.Host, wire.RequestHeader(id, 4*time.Second, key)
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return response{id: id}, err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return response{id: id, body: string(b), status: res.StatusCode, stamped: wire.Stamp(res.Header) != ""}, err
}

// checkResponse checks an invariant of every response: a success is the
// server's own complete response to this request.
func (d *deployment) checkResponse(r response) {
	if r.status == http.StatusOK && (!r.stamped || !strings.HasSuffix(r.body, " to "+r.id)) {
		d.t.Errorf("request %s got %q", r.id, r.body)
	}
}

// runCounts returns how often each request was run.
func (d *deployment) runCounts() map[string]int {
	out := make(map[string]int)
	for _, s := range d.servers {
		for _, r := range s.Runs() {
			out[r.ID]++
		}
	}
	return out
}

// Guards against failures without any injected fault: every kind of request
// succeeds through every VM, and no key has two holders.
func TestAllRoutesWithoutFaults(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	for i := range 60 {
		v := d.vms[i%3]
		for _, c := range []struct{ method, path string }{{"GET", "/read/1"}, {"POST", "/book/1"}, {"GET", "/seat/1"}} {
			d.waitUntil("success for "+c.path, func() bool {
				r, err := d.send(v, c.method, c.path, i*1000)
				is.NoErr(err)
				d.checkResponse(r)
				return r.status == http.StatusOK
			})
		}
	}
	for key := 0; key < 65536; key += 97 {
		holders := 0
		for _, s := range d.servers {
			if s.HoldsKey(key) {
				holders++
			}
		}
		is.True(holders <= 1)
	}
	r, err := d.send(d.vms[0], "GET", "/nowhere", 0)
	is.NoErr(err)
	is.Equal(r.status, http.StatusNotFound)
}

// Guards against a booking that runs twice, and one that is rejected as not run
// although it ran, while servers drop and truncate responses.
func TestBookingsRunAtMostOnce(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	for _, s := range d.servers {
		s.SetFaults(target.Faults{Drop: 0.2, Cut: 0.1, ServiceTime: time.Millisecond})
	}
	statuses := make(map[string]int)
	for i := range 300 {
		r, err := d.send(d.vms[i%3], "POST", "/book/1", 0)
		is.NoErr(err)
		d.checkResponse(r)
		statuses[r.id] = r.status
	}
	runCounts := d.runCounts()
	for id, status := range statuses {
		if runCounts[id] > 1 {
			t.Errorf("request %s ran %d times", id, runCounts[id])
		}
		if status == http.StatusServiceUnavailable && runCounts[id] > 0 {
			t.Errorf("request %s was rejected as not run and ran", id)
		}
		if status == http.StatusOK && runCounts[id] != 1 {
			t.Errorf("request %s succeeded and ran %d times", id, runCounts[id])
		}
	}
}

// Guards against keys that are no longer served during an outage of the store,
// and against a VM that doesn't become ready if it starts during the outage: it
// must read the state from its seeds.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	d.store.SetFaults(standin.Faults{Down: true})
	d.stop(d.vms[2])
	d.start(d.vms[2])
	d.waitUntil("the restarted VM is ready", func() bool { return d.isReady(d.vms[2]) })
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for key := 0; key < 65536; key += 7001 {
			holders := 0
			for _, s := range d.servers {
				if s.HoldsKey(key) {
					holders++
				}
			}
			is.True(holders <= 1)
		}
	}
	for _, v := range d.vms {
		d.waitUntil("a key is served through "+v.name, func() bool {
			r, err := d.send(v, "GET", "/seat/1", 4711)
			is.NoErr(err)
			d.checkResponse(r)
			return r.status == http.StatusOK
		})
	}
}

// Guards against new requests to a draining server, and keys that it keeps.
func TestDrainingServer(t *testing.T) {
	d := newDeployment(t)
	draining := d.servers[1]
	draining.Register("draining")
	d.waitUntil("its keys have moved", func() bool { return draining.KeysHeld() == 0 })
	time.Sleep(2 * time.Second) // new requests must have stopped within 2 s
	before := len(draining.Runs())
	for i := range 100 {
		r, err := d.send(d.vms[i%3], "GET", "/seat/1", i*600)
		is.New(t).NoErr(err)
		d.checkResponse(r)
	}
	is.New(t).Equal(len(draining.Runs()), before)
}

// Guards against a booking that runs twice during a rolling restart of the VMs,
// and against a VM that isn't ready after its restart.
func TestRollingRestart(t *testing.T) {
	d := newDeployment(t)
	end := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 6 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				default:
				}
				r, err := d.send(d.vms[(i+n)%3], "POST", "/book/1", 0)
				if err == nil {
					d.checkResponse(r)
				}
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	for _, v := range d.vms {
		d.stop(v)
		d.start(v)
		d.waitUntil("VM "+v.name+" is ready again", func() bool { return d.isReady(v) })
	}
	close(end)
	callers.Wait()
	for id, n := range d.runCounts() {
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
}

// Guards against a new configuration that isn't in force on every VM, and
// against an older version that replaces a newer one.
func TestConfigurationChange(t *testing.T) {
	d := newDeployment(t)
	d.configure(config(5, "/lookup/"))
	for _, v := range d.vms {
		d.waitUntil("the new route is served by "+v.name, func() bool {
			r, err := d.send(v, "GET", "/lookup/1", 0)
			return err == nil && r.status == http.StatusOK
		})
	}
	d.configure(config(4, "/read/"))
	time.Sleep(500 * time.Millisecond)
	for _, v := range d.vms {
		r, err := d.send(v, "GET", "/read/1", 0)
		is.New(t).NoErr(err)
		is.New(t).Equal(r.status, http.StatusNotFound)
	}
}
