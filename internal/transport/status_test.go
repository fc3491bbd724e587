package transport

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serveRaw writes the n-th text to the n-th request of all connections, in pieces of
// the given number of bytes, and leaves the connection open. It returns its address
// and the number of its connections.
func serveRaw(t *testing.T, piece int, texts ...string) (string, *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	var conns, requests atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					n := int(requests.Add(1)) - 1
					for rest := texts[min(n, len(texts)-1)]; rest != ""; rest = rest[min(piece, len(rest)):] {
						if _, err := io.WriteString(c, rest[:min(piece, len(rest))]); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	return l.Addr().String(), &conns
}

const ownResponse = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"

// get sends a request and returns the status and the body of its response.
func get(c *http.Client, address string) (int, string, error) {
	res, err := c.Get("http://" + address + "/")
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := ReadBody(res, 1000)
	return res.StatusCode, string(b), err
}

func newTestClient() *http.Client {
	c := NewClient(Options{DialTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second, MaxIdlePerHost: 1})
	c.Timeout = 20 * time.Second
	return c
}

// Guards against a message that counts as a response although its status isn't one,
// and against one that is skipped as informational so that its body is read as the
// response. It is the second message on its connection, which isn't used again.
func TestMessageWithoutAStatusIsNoResponse(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner"
	length := "Content-Length: " + strconv.Itoa(len(inner)) + "\r\n"
	messages := make(map[string]string)
	for _, status := range []string{"000", "001", "099", "+20", "-00", "+99", "1000", "600", "999", "20", "abc", "", "101"} {
		messages["status "+status] = "HTTP/1.1 " + status + " X\r\n" + length + "\r\n" + inner
		messages["status "+status+", no body"] = "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n" + inner
	}
	for _, status := range []string{"100", "102", "103", "199"} {
		for _, version := range []string{"HTTP/1.1 ", "HTTP/1.0 "} {
			head := version + status + " X\r\n"
			messages[head+"with a length"] = head + length + "\r\n" + inner
			messages[head+"with length 0"] = head + "A: b\r\ncontent-length:0\r\n\r\n" + inner
			messages[head+"with a coding"] = head + "Transfer-Encoding: chunked\r\n\r\n" + inner
			messages[head+"with a coding and bare line feeds"] = version + status + "\nTRANSFER-ENCODING: chunked\n\n" + inner
			messages[head+"after a valid one"] = "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + inner
		}
	}
	messages["too many informational"] = strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", MaxInformational+1) + inner
	for name, raw := range messages {
		for _, piece := range []int{len(raw), 1} {
			t.Run(name+" in pieces of "+strconv.Itoa(piece), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				address, conns := serveRaw(t, piece, ownResponse, raw, ownResponse)
				c := newTestClient()
				_, body, err := get(c, address)
				is.NoErr(err)
				is.Equal(body, "own")
				_, body, err = get(c, address)
				is.True(errors.Is(err, ErrNoResponse))
				is.Equal(body, "")
				_, body, err = get(c, address)
				is.NoErr(err)
				is.Equal(body, "own")
				is.Equal(conns.Load(), int32(2))
			})
		}
	}
}

// Guards against a check that rejects valid responses, or that takes bytes of a body
// for a status.
func TestEachStatusOfAResponseIsPassedOn(t *testing.T) {
	withBody := func(status string) string { return "HTTP/1.1 " + status + "\r\nContent-Length: 3\r\n\r\nown" }
	for name, tc := range map[string]struct {
		raw    string
		status int
	}{
		"200":                {withBody("200 OK"), 200},
		"299":                {withBody("299 X"), 299},
		"599":                {withBody("599 X"), 599},
		"no reason":          {withBody("404"), 404},
		"long reason":        {withBody("200 " + strings.Repeat("x", 500)), 200},
		"chunked":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n", 200},
		"bare line feeds":    {strings.ReplaceAll(ownResponse, "\r", ""), 200},
		"continue":           {"HTTP/1.1 100 Continue\r\n\r\n" + ownResponse, 200},
		"processing":         {"HTTP/1.1 102 Processing\r\n\r\n" + ownResponse, 200},
		"early hints":        {"HTTP/1.1 103 Early Hints\r\nX-Content-Length: 4\r\nLink: </a>\r\n\r\n" + ownResponse, 200},
		"most informational": {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", MaxInformational) + ownResponse, 200},
	} {
		for _, piece := range []int{len(tc.raw), 1} {
			t.Run(name+" in pieces of "+strconv.Itoa(piece), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				address, conns := serveRaw(t, piece, tc.raw)
				c := newTestClient()
				for range 3 {
					status, body, err := get(c, address)
					is.NoErr(err)
					is.Equal(status, tc.status)
					is.Equal(body, "own")
				}
				is.Equal(conns.Load(), int32(1))
			})
		}
	}
}

// Guards against bytes that arrive before a request was sent and that count as its
// response.
func TestBytesBeforeARequestAreNoResponse(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n"+ownResponse)
			defer func() { _ = c.Close() }()
		}
	}()
	c := newTestClient()
	for range 20 {
		_, _, err := get(c, l.Addr().String())
		is.True(err != nil)
	}
}
