package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a planned stop that cuts a request whose body has arrived in part,
// on a new connection or on one that was used before, or runs it without the rest.
func TestStopWaitsForBodies(t *testing.T) {
	for _, framing := range []string{"Content-Length: 10\r\n\r\nfirst", "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n"} {
		for _, used := range []bool{false, true} {
			t.Run(fmt.Sprint(strings.Fields(framing)[0], " used ", used), func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, nil)
				c, err := net.Dial("tcp", f.address)
				is.NoErr(err)
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				if used {
					_, err = io.WriteString(c, "GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: r0\r\n\r\n")
					is.NoErr(err)
					res, err := http.ReadResponse(r, nil)
					is.NoErr(err)
					_, err = io.ReadAll(res.Body)
					is.NoErr(err)
				}
				_, err = io.WriteString(c, "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\n"+framing)
				is.NoErr(err)
				time.Sleep(100 * time.Millisecond) // the VM has read it
				stopped := make(chan error, 1)
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					defer cancel()
					stopped <- f.Stop(ctx)
				}()
				time.Sleep(300 * time.Millisecond)
				rest := "other"
				if strings.HasPrefix(framing, "Transfer") {
					rest = "5\r\nother\r\n0\r\n\r\n"
				}
				_, err = io.WriteString(c, rest)
				is.NoErr(err)
				res, err := http.ReadResponse(r, nil)
				is.NoErr(err)
				body, err := io.ReadAll(res.Body)
				is.NoErr(err)
				is.Equal(res.StatusCode, http.StatusOK)
				is.Equal(string(body), "for r1")
				is.True(res.Close)
				is.NoErr(<-stopped)
				last := f.exchanger.sent[f.exchanger.count()-1]
				is.Equal(string(last.Body), "firstother")
			})
		}
	}
}
