package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/memory"
)

// Guards against responses that are held for callers but not counted, and against a
// small response that is lost because the account is full: its request has run.
func TestHeldResponsesAreCounted(t *testing.T) {
	for name, framing := range map[string]func(id, body string) string{
		"known length":   response,
		"unknown length": func(id, body string) string { return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s\r\n\r\n" + body },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			size := 0
			address, _ := startTarget(t, func(_ int, id string, c net.Conn) {
				_, _ = io.WriteString(c, framing(id, strings.Repeat("x", size)))
				_ = c.Close()
			})
			account := memory.NewAccount(10 * smallBodyBytes)
			c := NewClient(NewPool(func() {}), testHeaders, account)
			do := func(n int, held *memory.Charge) error {
				size = n
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				r, err := c.Do(ctx, &Request{
					Address: address, Target: "t", ID: "1", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Held: held,
				})
				if err == nil {
					is.Equal(len(r.Body), n)
				}
				return err
			}
			held := account.NewCharge()
			is.NoErr(do(2*smallBodyBytes, held))
			is.True(account.Used() >= 2*smallBodyBytes)
			is.True(account.Take(account.Limit() - account.Used()))
			is.NoErr(do(1000, held)) // the account is full
			is.True(account.Used() >= account.Limit()+1000)
			is.True(errors.Is(do(2*smallBodyBytes, account.NewCharge()), ErrIncomplete))
			used := account.Used()
			held.Release()
			is.True(used-account.Used() >= 2*smallBodyBytes+1000)
		})
	}
}

// Guards against a large body that is changed on its way to the target, or by an
// attempt that other attempts follow.
func TestLargeBodyIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{maxCopiedBody, maxCopiedBody + 1, 4 << 20} {
		body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		received := make(chan []byte, 2)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					b, _ := io.ReadAll(req.Body)
					received <- b
					_, _ = io.WriteString(c, response("1", strconv.Itoa(len(b))))
				}
				_ = c.Close()
			}
		}()
		for range 2 {
			r, err := newClient().Do(context.Background(), &Request{
				Address: l.Addr().String(), Target: "t", ID: "1", Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Body: body,
			})
			is.NoErr(err)
			is.Equal(string(r.Body), strconv.Itoa(size))
			is.True(bytes.Equal(<-received, body))
		}
		_ = l.Close()
	}
}
