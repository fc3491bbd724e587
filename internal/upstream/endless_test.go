package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/memory"
)

// endless writes the chunk to the connection until its peer closes it, and
// returns how many bytes the peer has taken.
func endless(c net.Conn, chunk string) (written int) {
	for b := []byte(chunk); ; {
		n, err := c.Write(b)
		if written += n; err != nil {
			return written
		}
	}
}

// endlessResponse is a response that repeats its last part until its peer closes the
// connection.
type endlessResponse struct{ start, repeat string }

// endlessResponses covers each place of a response where bytes may go on without end.
func endlessResponses() map[string]endlessResponse {
	const head = "HTTP/1.1 200 OK\r\nStamp: s\r\n"
	filler := strings.Repeat("x", 16<<10)
	return map[string]endlessResponse{
		"status line":             {"HTTP/1.1 200 ", filler},
		"no HTTP":                 {"", filler},
		"header line":             {head + "A: ", filler},
		"header lines":            {head, "A: " + filler[:1000] + "\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early\r\nA: " + filler[:1000] + "\r\n\r\n"},
		"body until close":        {head + "Id: 1\r\n\r\n", filler},
		"declared body":           {head + "Id: 1\r\nContent-Length: 99999999999\r\n\r\n", filler},
		"chunked body":            {head + "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + filler + "\r\n"},
		"chunk size":              {head + "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "0000000000000000"},
		"chunk extension":         {head + "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;", filler},
		"chunk extensions":        {head + "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + filler[:2000] + "\r\nx\r\n"},
		"trailer":                 {head + "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + filler[:1000] + "\r\n"},
		"trailer line":            {head + "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", filler},
		"responses to others":     {"", head + "Id: 2\r\nContent-Length: 1000\r\n\r\n" + filler[:1000]},
	}
}

// Guards against a target whose bytes never end: they are read into memory until
// the process is killed, or keep a request or a health check until its deadline.
func TestEndlessResponseIsCutOff(t *testing.T) {
	for kind, exchange := range map[string]func(address string) (*Response, error){
		"request": func(address string) (*Response, error) { return send(newClient(), address, "1") },
		"health check": func(address string) (*Response, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			return newClient().Health(ctx, address, "/health")
		},
	} {
		for name, s := range endlessResponses() {
			t.Run(kind+", "+name, func(t *testing.T) {
				is := is.New(t)
				taken := make(chan int, 1)
				address, _ := startTarget(t, func(_ int, _ string, c net.Conn) {
					_, _ = io.WriteString(c, s.start)
					taken <- endless(c, s.repeat)
				})
				resp, err := exchange(address)
				is.True(resp == nil)
				is.True(errors.Is(err, ErrIncomplete)) // before the deadline
				select {
				case n := <-taken:
					is.True(n < 2*maxResponseBytes) // the limits and the buffers of the sockets
				case <-time.After(10 * time.Second):
					t.Fatal("the connection is still open")
				}
			})
		}
	}
}

// Guards against large responses that together exceed the memory of a VM: a
// response that has no room is cut off, and gives its room back.
func TestLargeResponsesShareMemory(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 3*smallBodyBytes)
	address, _ := startTarget(t, func(_ int, id string, c net.Conn) { _, _ = io.WriteString(c, response(id, body)) })
	c := newClient()
	c.memory = memory.NewAccount(4 * smallBodyBytes)
	for range 5 {
		resp, err := send(c, address, "1")
		is.NoErr(err)
		is.Equal(len(resp.Body), len(body))
		is.Equal(c.memory.Used(), int64(0))
	}
	c.memory = memory.NewAccount(smallBodyBytes)
	_, err := send(c, address, "1")
	is.True(errors.Is(err, ErrIncomplete))
	is.Equal(c.memory.Used(), int64(0))
}
