package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/transport"
)

// withStatus returns a response to the request with the id whose status is the text.
func withStatus(status, id, body string) string {
	return "HTTP/1.1 " + status + " X\r\nId: " + id + "\r\nStamp: s\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// notResponses are whole messages that are no responses because of their status.
// Where one has a body, this looks like a response to the request with the id.
func notResponses(id string) map[string]string {
	inner := response(id, "not a response")
	out := make(map[string]string)
	for _, status := range []string{"000", "001", "020", "099", "+20", "-00", "+99", "1000", "600", "700", "999", "20", "2 0", "abc", "2_0", "\u0662\u0660\u0660", "", "101"} {
		out["status "+status] = withStatus(status, id, inner)
		out["status "+status+", no body"] = withStatus(status, id, "")
		out["status "+status+", not run"] = "HTTP/1.1 " + status + " X\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" + inner
	}
	for _, status := range []string{"100", "102", "103", "199"} {
		for _, version := range []string{"HTTP/1.1 ", "HTTP/1.0 "} {
			head := version + status + " X\r\n"
			out[head+"with a length"] = head + "Content-Length: " + strconv.Itoa(len(inner)) + "\r\n\r\n" + inner
			out[head+"with length 0"] = head + "A: b\r\ncontent-length:0\r\n\r\n" + inner
			out[head+"with a coding"] = head + "Transfer-Encoding: chunked\r\n\r\n" + inner
			out[head+"with a coding and bare line feeds"] = version + status + "\nTRANSFER-ENCODING: chunked\n\n" + inner
			out[head+"with both"] = head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + inner
			out[head+"after a valid one"] = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + inner
		}
	}
	out["status line without a status"] = "HTTP/1.1\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n" + inner
	return out
}

// Guards against a message that is passed on as a response although its status isn't
// one, and against one that counts as informational so that the content of its body
// is read as the response. The request may have run.
func TestMessageWithoutAStatusIsNoResponse(t *testing.T) {
	for name, raw := range notResponses("1") {
		for _, piece := range []int{len(raw), 1} {
			t.Run(name+" in pieces of "+strconv.Itoa(piece), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				address, conns := startTarget(t, func(n int, id string, c net.Conn) {
					if id != "1" {
						_, _ = io.WriteString(c, response(id, "own"))
						return
					}
					for rest := raw; rest != ""; rest = rest[min(piece, len(rest)):] {
						if _, err := io.WriteString(c, rest[:min(piece, len(rest))]); err != nil {
							return
						}
					}
				})
				c := newClient()
				resp, err := send(c, address, "1")
				is.True(resp == nil)
				is.True(errors.Is(err, ErrIncomplete))
				is.True(!errors.Is(err, ErrNotSent))
				resp, err = send(c, address, "2")
				is.NoErr(err)
				is.Equal(string(resp.Body), "own")
				is.Equal(conns.Load(), int32(2)) // the first one isn't reused
			})
		}
	}
}

// Guards against a target that counts as healthy because of a message that is no
// response.
func TestMessageWithoutAStatusIsNoHealth(t *testing.T) {
	for name, raw := range notResponses("") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, _ := startTarget(t, func(_ int, _ string, c net.Conn) { _, _ = io.WriteString(c, raw) })
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			resp, err := newClient().Health(ctx, address, "/health")
			is.True(resp == nil)
			is.True(errors.Is(err, ErrIncomplete))
		})
	}
}

// Guards against a check that rejects valid responses: each status that has a
// response, whatever its reason, and informational responses before it.
func TestEachStatusOfAResponseIsPassedOn(t *testing.T) {
	for name, tc := range map[string]struct {
		raw    string
		status int
	}{
		"200":                   {withStatus("200", "1", "body"), 200},
		"299":                   {withStatus("299", "1", "body"), 299},
		"418":                   {withStatus("418", "1", "body"), 418},
		"599":                   {withStatus("599", "1", "body"), 599},
		"no reason":             {strings.Replace(withStatus("200", "1", "body"), "200 X", "200", 1), 200},
		"empty reason":          {strings.Replace(withStatus("200", "1", "body"), "200 X", "200 ", 1), 200},
		"long reason":           {strings.Replace(withStatus("200", "1", "body"), "200 X", "200 "+strings.Repeat("x", 500), 1), 200},
		"continue":              {"HTTP/1.1 100 Continue\r\n\r\n" + withStatus("200", "1", "body"), 200},
		"processing":            {"HTTP/1.1 102 Processing\r\n\r\n" + withStatus("503", "1", "body"), 503},
		"early hints":           {"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\nX-Content-Length: 4\r\n\r\n" + withStatus("200", "1", "body"), 200},
		"most informational":    {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", transport.MaxInformational) + withStatus("200", "1", "body"), 200},
		"body like no response": {withStatus("200", "1", "HTTP/1.1 000 X\r\n\r\n"), 200},
	} {
		for _, piece := range []int{len(tc.raw), 1} {
			t.Run(name+" in pieces of "+strconv.Itoa(piece), func(t *testing.T) {
				is := is.New(t)
				address, conns := startTarget(t, func(_ int, _ string, c net.Conn) {
					for rest := tc.raw; rest != ""; rest = rest[min(piece, len(rest)):] {
						_, _ = io.WriteString(c, rest[:min(piece, len(rest))])
					}
				})
				c := newClient()
				for range 2 {
					resp, err := send(c, address, "1")
					is.NoErr(err)
					is.Equal(resp.Status, tc.status)
				}
				is.Equal(conns.Load(), int32(1))
			})
		}
	}
}

// Guards against informational responses without end, which keep a request until its
// deadline, also if each arrives by itself.
func TestInformationalResponsesAreBounded(t *testing.T) {
	for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
		is := is.New(t)
		address, _ := startTarget(t, func(_ int, id string, c net.Conn) {
			for range transport.MaxInformational + 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
				time.Sleep(pause)
			}
			_, _ = io.WriteString(c, response(id, "late"))
		})
		resp, err := send(newClient(), address, "1")
		is.True(resp == nil)
		is.True(errors.Is(err, ErrIncomplete))
	}
}

// Guards against a healthy target that counts as unhealthy because of an informational
// response.
func TestHealthAfterAnInformationalResponse(t *testing.T) {
	is := is.New(t)
	address, _ := startTarget(t, func(_ int, _ string, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+withStatus("200", "", "ready"))
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := newClient().Health(ctx, address, "/health")
	is.NoErr(err)
	is.Equal(resp.Status, 200)
}
