package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"celeryhook.example/celeryhook/standin/target"
	"celeryhook.example/celeryhook/standin/wire"
)

const (
	// program is the program of the deploy file, relative to the repository.
	program = "target/celeryhook"
	// readyTimeout bounds the start of the deployment.
	readyTimeout = 30 * time.Second
	// zones is the number of failure domains.
	zones = 3

	deskService = "desk"

	// contact is the time of calm after which a VM is in touch.
	contact = 3 * time.Second
	// expiryTime is how long a registration lasts without a renewal: three heartbeats
	// of 870 ms.
	expiryTime = 3 * 870 * time.Millisecond
)

// arrival is a request that has reached a target.
type arrival struct {
	at     time.Time
	vm, id string
}

// Limits of the VMs of the site macky-brana.
const (
	memoryMB = 284
	maxFDs   = 4100
)

// world is a deployment with its stand-ins.
type world struct {
	trouble   bool
	startedAt time.Time
	dir       string
	store     *wire.Store
	storeHTTP *http.Server
	vms       []*vm
	targets   []*wire.Server

	mu     sync.Mutex
	file   *os.File
	record *bufio.Writer
	closed bool
}

// vm is a gateway VM.
type vm struct {
	name, callers, ready string
	settings, metrics    string
	cmd                  *exec.Cmd
	// unreadyAt holds when readiness probes of the case failed.
	unreadyAt []time.Time
	exited    chan struct{}
}

func newWorld(recordPath string, trouble bool) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, fmt.Errorf("scene2: record: %w", err)
	}
	dir, err := os.MkdirTemp("", "scene2-")
	if err != nil {
		return nil, errors.Join(fmt.Errorf("scene2: temporary folder: %w", err), file.Close())
	}
	w := &world{trouble: trouble, startedAt: time.Now(), dir: dir, store: wire.NewStore(), file: file, record: bufio.NewWriter(file)}
	w.note("disruption: %v", trouble)
	return w, nil
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		fmt.Fprintf(w.record, "%7.3f  %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

// close ends all processes that the case has started.
func (w *world) close() {
	for _, v := range w.vms {
		_ = v.cmd.Process.Kill() // it may have exited
		<-v.exited
	}
	for _, t := range w.targets {
		t.Stop()
	}
	if w.storeHTTP != nil {
		_ = w.storeHTTP.Close()
	}
	_ = os.RemoveAll(w.dir)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		_ = w.record.Flush()
		_ = w.file.Close()
	}
}

// runLog records the requests that targets run.
type runLog struct{ w *world }

// RunStarted implements wire.Observer.
func (l runLog) RunStarted(s *wire.Server, r wire.Run) { l.w.note("%s runs %s", s.ID, r.ID) }

// TurnedAway implements wire.Observer.
func (l runLog) TurnedAway(s *wire.Server, id string, pause time.Duration) {
	l.w.note("%s answers %s with 503, Retry-After %v", s.ID, id, pause.Seconds())
}

// Granted implements wire.Observer.
func (runLog) Granted(*wire.Server, int, int, int64) {}

// startDesk starts a service of targets that don't hold keys, with the given number of
// targets, and the VMs.
func (w *world) startDesk(route wire.Route, targets int, work, timeout time.Duration, o wire.Observer) error {
	route.Service = deskService
	if err := w.store.Configure(wire.Config{
		Version: 1, Timeout: timeout, Routes: []wire.Route{route}, Services: []wire.ServiceOptions{{Name: deskService, MaxConns: 110}},
	}); err != nil {
		return fmt.Errorf("scene2: %w", err)
	}
	for i := range targets {
		t, err := w.addTarget(wire.ServerOptions{ID: fmt.Sprint(deskService, "-", i), Service: deskService, Slots: 6, Observer: o})
		if err != nil {
			return err
		}
		t.SetFaults(target.Faults{ServiceTime: work})
	}
	return w.startVMs(zones)
}

func zone(i int) string { return fmt.Sprint("zone-", i%zones) }

// addTarget starts a target that registers itself.
func (w *world) addTarget(o wire.ServerOptions) (*wire.Server, error) {
	o.Zone = zone(len(w.targets))
	t, err := wire.StartServer(w.store, o)
	if err != nil {
		return nil, fmt.Errorf("scene2: %w", err)
	}
	w.targets = append(w.targets, t)
	return t, nil
}

// startVMs serves the store, starts the VMs and waits until they are ready.
func (w *world) startVMs(count int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("scene2: store: %w", err)
	}
	w.storeHTTP = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.storeHTTP.Serve(l) }()
	var seeds []string
	for i := range count {
		ip := fmt.Sprintf("127.0.2.%d", 1+i)
		ports, err := freeAddresses(ip, 4)
		if err != nil {
			return err
		}
		seeds = append(seeds, ports[2])
		if err := w.startVM(fmt.Sprint("vm-", i), ip, zone(i), l.Addr().String(), ports, seeds[:min(len(seeds), 3)]); err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyTimeout); ; time.Sleep(50 * time.Millisecond) {
		if w.allReady() {
			w.note("%d VMs are ready", count)
			return nil
		}
		if time.Now().After(end) {
			return errors.New("scene2: the VMs did not become ready")
		}
	}
}

func (w *world) startVM(name, ip, zone, store string, ports, seeds []string) error {
	settings, err := wire.VM{
		Name: name, IP: ip, Zone: zone, Seeds: seeds, Callers: ports[0], Ready: ports[1], Peers: ports[2], Store: store,
		MemoryMB: memoryMB, MaxFDs: maxFDs,
	}.Settings()
	if err != nil {
		return fmt.Errorf("scene2: %w", err)
	}
	path := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return fmt.Errorf("scene2: settings of %s: %w", name, err)
	}
	v := &vm{name: name, callers: ports[0], ready: ports[1], settings: path, metrics: ports[3]}
	if err := w.startProcess(v); err != nil {
		return err
	}
	w.vms = append(w.vms, v)
	return nil
}

// startProcess starts the process of a VM.
func (w *world) startProcess(v *vm) error {
	out, err := os.OpenFile(filepath.Join(w.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("scene2: log of %s: %w", v.name, err)
	}
	defer func() { _ = out.Close() }()
	cmd, exited := exec.Command(program, "gateway", "--metrics", v.metrics), make(chan struct{})
	cmd.Env = append(os.Environ(), "CELERYHOOK_CONFIG="+v.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("scene2: start %s: %w", v.name, err)
	}
	go func() {
		_ = cmd.Wait() // the error is part of the ProcessState
		close(exited)
	}()
	v.cmd, v.exited = cmd, exited
	return nil
}

// restartAll kills all VMs at the same moment and starts them again. It returns when
// the last one was started.
func (w *world) restartAll(downTime time.Duration) (time.Time, error) {
	w.note("all VMs are killed")
	for _, v := range w.vms {
		if err := v.cmd.Process.Kill(); err != nil {
			return time.Time{}, fmt.Errorf("scene2: kill %s: %w", v.name, err)
		}
	}
	for _, v := range w.vms {
		<-v.exited
	}
	time.Sleep(downTime)
	for _, v := range w.vms {
		if err := w.startProcess(v); err != nil {
			return time.Time{}, err
		}
	}
	w.note("all VMs were started again")
	return time.Now(), nil
}

func (w *world) allReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, v := range w.vms {
		if !v.isReady(&client) {
			return false
		}
	}
	return true
}

// isReady probes the readiness of a VM.
func (v *vm) isReady(client *http.Client) bool {
	res, err := client.Get("http://" + v.ready + wire.ReadyPath)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// running reports whether the process of a VM has not exited.
func (v *vm) running() bool {
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

// freeAddresses returns n addresses with distinct ports that were free just now.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fmt.Errorf("scene2: free port at %s: %w", ip, err)
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// answer is what a caller got for a request.
type answer struct {
	// status is 0 if the caller got no complete answer.
	status int
	// stamped is set if the answer is a target's.
	stamped bool
	err     error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return strconv.Itoa(a.status)
}

// newCaller returns a client that opens a connection for each request, or keeps one.
func newCaller(keep bool) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: !keep, MaxIdleConnsPerHost: 256, DisableCompression: true}}
}

// send sends a request without a body to a VM, as a caller that waits for at most the
// deadline.
func send(c *http.Client, v *vm, path, id string, deadline time.Duration) answer {
	req, err := http.NewRequest(http.MethodGet, "http://"+v.callers+path, nil)
	if err != nil {
		return answer{err: err}
	}
	req.Host = wire.Host
	req.Header = wire.RequestHeader(id, deadline, 0)
	timed := *c
	timed.Timeout = deadline
	res, err := timed.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := bufio.NewReader(res.Body).WriteTo(discard{}); err != nil {
		return answer{err: err}
	}
	return answer{status: res.StatusCode, stamped: wire.Stamp(res.Header) != ""}
}

type discard struct{}

// Write implements io.Writer.
func (discard) Write(b []byte) (int, error) { return len(b), nil }
