package soak

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/standin/platform"
	"celeryhook.example/celeryhook/standin/target"
)

const (
	// entryMemoryMB is the memory of an entry VM.
	entryMemoryMB = 144
	// entryClients is the crowd of TestUnfinishedHeadsAtEntryVM at one of its listeners,
	// and entryHeadBytes what each sends of a head before it slows down.
	entryClients   = 600
	entryHeadBytes = 65000
)

// entryVM is the process of an entry VM with its listen addresses.
type entryVM struct {
	cmd                       *exec.Cmd
	exited                    chan struct{}
	output                    string
	callers, peers, operators string
}

// startEntryVM starts an entry VM with a target, and waits until it serves requests.
func startEntryVM(t *testing.T) *entryVM {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	store := platform.NewServer()
	go store.Run(ctx)
	storeHTTP := httptest.NewServer(store)
	t.Cleanup(storeHTTP.Close)
	s := target.NewServer(target.Options{ID: "desk-1", Slots: 6, Checks: true, Incarnation: 1}, 5*time.Millisecond, nil)
	go s.Run(ctx)
	targetHTTP := httptest.NewServer(s)
	t.Cleanup(targetHTTP.Close)
	document := "[deployment]\nname = d\nfailure_domains = z0\n[service desk]\ndivision = none\n" +
		"[route read]\nmethod = GET\npath = /read/{id}\nservice = desk\nclass = lookup\n" +
		"[target desk-1]\nservice = desk\nfailure_domain = z0\naddress = " + strings.TrimPrefix(targetHTTP.URL, "http://") + "\nslots = 6\nconnections = 60\n"
	record, err := platformlog.Record{Kind: platformlog.KindPolicy, ID: "p", Author: "test", Document: document}.Encode()
	is.NoErr(err)
	_, err = platformlog.NewHTTPLog(storeHTTP.URL, http.DefaultClient).Append(ctx, record)
	is.NoErr(err)

	dir := t.TempDir()
	v := &entryVM{output: filepath.Join(dir, "entry.log"), exited: make(chan struct{})}
	settings := filepath.Join(dir, "entry.ini")
	is.NoErr(os.WriteFile(settings, []byte("[vm]\nid = vm0\nfailure_domain = z0\n[platform]\naddress = "+storeHTTP.URL+"\n"), 0o600))
	out, err := os.Create(v.output)
	is.NoErr(err)
	defer func() { _ = out.Close() }()
	v.cmd = exec.Command(build(t), "entry", "--settings", settings)
	v.cmd.Stdout, v.cmd.Stderr = out, out
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	is.NoErr(v.cmd.Start())
	go func() {
		defer close(v.exited)
		_ = v.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = v.cmd.Process.Kill()
		<-v.exited
	})
	is.True(eventually(v.findAddresses))
	is.True(eventually(v.answers))
	return v
}

// findAddresses reads the listen addresses from the log of the process.
func (v *entryVM) findAddresses() bool {
	b, err := os.ReadFile(v.output)
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(b)) {
		var started struct{ Msg, Callers, Peers, Operators string }
		if json.Unmarshal([]byte(line), &started) == nil && started.Msg == "entry VM started" {
			v.callers, v.peers, v.operators = started.Callers, started.Peers, started.Operators
			return true
		}
	}
	return false
}

// answers reports whether a small request is answered by the target.
func (v *entryVM) answers() bool { return statusOK("http://" + v.callers + "/read/ordinary") }

// statusOK reports whether a request on a connection of its own gets status 200.
func statusOK(url string) bool {
	client := http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Guards against clients that take the memory of an entry VM, or keep others out, with
// heads of short lines that don't end.
func TestUnfinishedHeadsAtEntryVM(t *testing.T) {
	var heads [][]byte
	for _, line := range []string{"a:\r\n", "%x:\r\n"} {
		heads = append(heads, append(headOfLines("GET", "unfinished", line, entryHeadBytes, entryHeadBytes).Bytes(), "b: "...))
	}
	for name, address := range map[string]func(*entryVM) string{
		"callers":   func(v *entryVM) string { return v.callers },
		"peers":     func(v *entryVM) string { return v.peers },
		"operators": func(v *entryVM) string { return v.operators },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := startEntryVM(t)
			stop := watchPeaks(v.cmd.Process.Pid, v.callers)
			w := startCrowd(address(v), entryClients, func(ctx context.Context, i int, c net.Conn, begun func()) {
				trickle(ctx, c, heads[i%len(heads)], begun)
			})
			time.Sleep(crowdSettleTime)
			answered, ready := false, false
			for range maxOrdinaryAttempts {
				answered = answered || v.answers()
				ready = ready || statusOK("http://"+v.operators+"/healthz")
			}
			w.stop()
			p := stop()
			select {
			case <-v.exited:
				t.Fatal("the process has exited")
			default:
			}
			p.require(t, v.cmd.Process.Pid, entryMemoryMB)
			is.True(answered) // an ordinary request is answered beside the crowd
			is.True(ready)    // the load balancer's probe is answered beside the crowd
			is.True(eventually(v.answers))
		})
	}
}
