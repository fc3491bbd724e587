package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a call that takes effect after its caller has given it up: the
// kernel goes on sending the bytes of a connection that was closed in the normal
// way, and a grant that was held up by a partition reaches its target seconds
// later, after the keys have another owner.
func TestTimedOutCallIsReset(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		if _, err = http.ReadRequest(r); err == nil {
			_, err = r.ReadByte() // no response is sent
		}
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String()+"/", nil)
	is.NoErr(err)
	client := &http.Client{Transport: New(Options{DialTimeout: time.Second, IdleTimeout: time.Second, MaxIdlePerHost: 1})}
	res, err := client.Do(req)
	if err == nil {
		_ = res.Body.Close()
	}
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.True(errors.Is(<-ended, syscall.ECONNRESET)) // not the end of the stream
}
