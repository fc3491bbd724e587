package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/standin/wire"
)

const (
	// uploadMaxFDs is the number of descriptors of the VM, and uploadBodyBytes the size of
	// a large body.
	uploadMaxFDs    = 1000
	uploadBodyBytes = 48 << 20
	// uploadClients is the crowd of TestManyLargeBodies. Every other client first sends a
	// body of firstBodyBytes, whose response it reads, and then a large one behind a
	// request that is still in progress.
	uploadClients  = 120
	firstBodyBytes = 512 << 10
	// behindClients is the crowd of TestBodiesBehindOtherRequests. Each first sends a
	// body of behindFirstBytes, behindAtOnce of them at a time, so that the receive
	// buffers of their connections grow.
	behindClients    = 40
	behindAtOnce     = 4
	behindFirstBytes = 8 << 20
)

// Guards against bodies of legal size that together exceed the memory of a VM.
func TestManyLargeBodies(t *testing.T) {
	g := startLimitedVM(t, hostileMemoryMB, uploadMaxFDs, hostileMaxBody)
	stop := watchPeaks(g.cmd.Process.Pid, g.callers)
	large := make([]byte, uploadBodyBytes)
	var crowd sync.WaitGroup
	for i := range uploadClients {
		crowd.Go(func() {
			u := newUploader(t, g.gateway)
			defer u.close()
			if i%2 == 1 && !(u.send(http.MethodPost, large[:firstBodyBytes]) && u.readResponse() && u.send(http.MethodGet, nil)) {
				return
			}
			if u.send(http.MethodPost, large) {
				_, _ = io.Copy(io.Discard, u.r)
			}
		})
	}
	crowd.Wait()
	g.requireWithinLimits(t, stop())
	if !eventually(func() bool { return ordinaryRequest(g.gateway) }) {
		t.Error("an ordinary request isn't answered after the crowd has left")
	}
}

// Guards against bodies that wait unread at the sockets of a VM, behind requests that
// are in progress, and together exceed its memory.
func TestBodiesBehindOtherRequests(t *testing.T) {
	g := startLimitedVM(t, hostileMemoryMB, uploadMaxFDs, hostileMaxBody)
	stop := watchPeaks(g.cmd.Process.Pid, g.callers)
	large := make([]byte, uploadBodyBytes)
	atOnce := make(chan struct{}, behindAtOnce)
	var crowd, first sync.WaitGroup
	first.Add(behindClients)
	for range behindClients {
		crowd.Go(func() {
			u := newUploader(t, g.gateway)
			defer u.close()
			atOnce <- struct{}{}
			grown := u.send(http.MethodPost, large[:behindFirstBytes]) && u.readResponse()
			<-atOnce
			first.Done()
			first.Wait()
			if grown && u.send(http.MethodGet, nil) && u.send(http.MethodPost, large) {
				_, _ = io.Copy(io.Discard, u.r)
			}
		})
	}
	crowd.Wait()
	g.requireWithinLimits(t, stop())
	if !eventually(func() bool { return ordinaryRequest(g.gateway) }) {
		t.Error("an ordinary request isn't answered after the crowd has left")
	}
}

// uploads is the number of requests of all uploaders.
var uploads atomic.Int64

// uploader is a client that sends bodies on one connection.
type uploader struct {
	c net.Conn
	r *bufio.Reader
}

func newUploader(t *testing.T, g *gateway) *uploader {
	c, err := net.DialTimeout("tcp", g.callers, clientTimeout)
	if err != nil {
		t.Errorf("connect: %v", err)
		return &uploader{c: &net.TCPConn{}, r: bufio.NewReader(nil)}
	}
	_ = c.SetDeadline(time.Now().Add(clientTimeout))
	return &uploader{c: c, r: bufio.NewReader(c)}
}

func (u *uploader) close() { _ = u.c.Close() }

// send reports whether it could send a request without reading a response.
func (u *uploader) send(method string, body []byte) bool {
	head := requestHead(method, fmt.Sprint("upload", uploads.Add(1)))
	fmt.Fprintf(head, "Content-Length: %d\r\n\r\n", len(body))
	if _, err := u.c.Write(head.Bytes()); err != nil {
		return false
	}
	_, err := u.c.Write(body)
	return err == nil
}

// readResponse reports whether a response was read completely.
func (u *uploader) readResponse() bool {
	res, err := http.ReadResponse(u.r, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && !res.Close
}

// Guards against a single body of the largest size that the configuration allows and
// that a VM doesn't serve in calm, although other callers keep connections open.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	const idleCallers = 30
	is := is.New(t)
	g := startLimitedVM(t, hostileMemoryMB, uploadMaxFDs, hostileMaxBody)
	for range idleCallers {
		c, err := net.DialTimeout("tcp", g.callers, clientTimeout)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
	}
	u := newUploader(t, g.gateway)
	defer u.close()
	go u.send(http.MethodPost, make([]byte, hostileMaxBody))
	res, err := http.ReadResponse(u.r, nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.True(wire.Stamp(res.Header) != "")
}
