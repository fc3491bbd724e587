package transport

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// Guards against bytes whose head ends elsewhere for HeadCheck than for net/http, so
// that a status is read that was never checked, and against a check that depends on
// how the bytes are split.
func FuzzHeadCheck(f *testing.F) {
	for _, s := range []string{
		ownResponse,
		"HTTP/1.1 103 X\r\nA: b\r\n c: d\r\n\r\n" + ownResponse,
		"HTTP/1.1 100\n\t\n\nHTTP/1.1 200 OK\n\n",
		"HTTP/1.0 102  X\r\nA:\r\n \r\n\r\nHTTP/1.1  204 \r\n\r\n",
		"HTTP/1.1 103 X\r\nTransfer-Encoding : chunked\r\n\r\n" + ownResponse,
		"HTTP/1.1 103 X\r\nA: b\r\n Content-Length: 3\r\n\r\n" + ownResponse,
		"HTTP/1.1 103 X\r\n\r\r\n\r\n" + ownResponse,
		"HTTP/1.1 +20 X\r\n\r\n" + ownResponse,
	} {
		f.Add([]byte(s), 1)
	}
	f.Fuzz(func(t *testing.T, b []byte, piece int) {
		var whole, split HeadCheck
		whole.Begin()
		split.Begin()
		_, err := whole.Check(b)
		var splitErr error
		for rest := b; len(rest) > 0 && splitErr == nil; {
			n := min(max(piece, 1), len(rest))
			_, splitErr = split.Check(rest[:n])
			rest = rest[n:]
		}
		if (err == nil) != (splitErr == nil) || whole.Status() != split.Status() {
			t.Fatalf("whole: %d, %v; in pieces: %d, %v", whole.Status(), err, split.Status(), splitErr)
		}
		if err != nil {
			return
		}
		r := bufio.NewReader(bytes.NewReader(b))
		for {
			res, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet})
			if err != nil {
				return
			}
			if res.StatusCode >= 100 && res.StatusCode < 200 {
				if res.Header.Get("Content-Length") != "" || len(res.TransferEncoding) > 0 {
					t.Fatalf("status %d with a body", res.StatusCode)
				}
				continue
			}
			if res.StatusCode != whole.Status() {
				t.Fatalf("status %d, checked was %d", res.StatusCode, whole.Status())
			}
			return
		}
	})
}
