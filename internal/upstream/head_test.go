package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// headOf returns a head of the given number of lines.
func headOf(id string, lines int) string {
	start := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s\r\nContent-Length: 4\r\n"
	return start + strings.Repeat("a:\r\n", lines-strings.Count(start, "\n")) + "\r\n"
}

// Guards against a bound on the lines of a head that rejects a head of just this
// many, that counts the lines of a body or of an earlier head, or that doesn't hold
// for a head that was read ahead with an earlier response.
func TestLinesOfAHeadAreBounded(t *testing.T) {
	const hints = "HTTP/1.1 103 Early Hints\r\n"
	other := response("other", strings.Repeat("\n", maxHeadLines))
	for name, s := range map[string]struct {
		response string
		whole    bool
	}{
		"most lines":                      {headOf("1", maxHeadLines) + "body", true},
		"one more":                        {headOf("1", maxHeadLines+1) + "body", false},
		"lines of a body":                 {headOf("1", maxHeadLines) + "\n\n\n\n", true},
		"after an informational response": {hints + strings.Repeat("a:\r\n", 900) + "\r\n" + headOf("1", 900) + "body", true},
		"one informational response":      {hints + strings.Repeat("a:\r\n", maxHeadLines) + "\r\n", false},
		"behind another response":         {other + headOf("1", maxHeadLines) + "body", true},
		"one more behind another":         {other + headOf("1", maxHeadLines+1) + "body", false},
		"bare line feeds":                 {strings.ReplaceAll(headOf("1", maxHeadLines), "\r", "") + "body", true},
		"one more with bare line feeds":   {strings.ReplaceAll(headOf("1", maxHeadLines+1), "\r", "") + "body", false},
	} {
		// Whole, and in pieces that end within a line.
		for _, piece := range []int{len(s.response), 1007} {
			t.Run(fmt.Sprint(name, " in pieces of ", piece), func(t *testing.T) {
				is := is.New(t)
				address, _ := startTarget(t, func(_ int, _ string, c net.Conn) {
					for rest := []byte(s.response); len(rest) > 0; {
						n, _ := c.Write(rest[:min(piece, len(rest))])
						rest = rest[n:]
						if n == 0 {
							return
						}
					}
				})
				resp, err := send(newClient(), address, "1")
				if !s.whole {
					is.True(errors.Is(err, ErrIncomplete))
					return
				}
				is.NoErr(err)
				is.Equal(len(resp.Body), 4)
			})
		}
	}
}

// Guards against heads that take many times their bytes when they are decoded: of
// 64 KiB of short header lines became about 1 MB for each request that waited for
// the rest of its response.
func TestDecodedHeadsAreBounded(t *testing.T) {
	const (
		exchanges = 330       // a VM's part of the connections that the targets of a small deployment accept
		vmMemory  = 284 << 20 // of such a VM
		// Go lets the heap grow to twice what is in use.
		maxMemory = vmMemory/2 - bodyMemory
	)
	for name, line := range map[string]func(i int) string{
		"different names": func(i int) string { return fmt.Sprintf("%x:\r\n", i) },
		"one name":        func(int) string { return "a:\r\n" },
		"most bytes":      func(i int) string { return fmt.Sprintf("%x: %s\r\n", i, strings.Repeat("x", 66)) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var head bytes.Buffer
			head.WriteString("HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n")
			for i := 0; head.Len() < maxHeadBytes-100; i++ {
				head.WriteString(line(i))
			}
			head.WriteString("\r\n")
			var written sync.WaitGroup
			written.Add(exchanges)
			end := make(chan struct{})
			address, _ := startTarget(t, func(_ int, _ string, c net.Conn) {
				_, _ = c.Write(head.Bytes())
				_, _ = io.WriteString(c, "x")
				written.Done()
				<-end
			})
			before := heapInUse()
			c := newClient()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var ended sync.WaitGroup
			for range exchanges {
				ended.Go(func() {
					err := ErrNotSent // until the connection is established in time
					for errors.Is(err, ErrNotSent) && ctx.Err() == nil {
						_, err = c.Do(ctx, &Request{Address: address, Target: "t", ID: "1", Method: http.MethodGet, URI: "/", Host: "h", Timeout: time.Minute})
					}
				})
			}
			written.Wait()
			time.Sleep(200 * time.Millisecond) // the last heads are decoded
			used := heapInUse() - before
			close(end)
			cancel()
			ended.Wait()
			t.Logf("%d exchanges take %d KB", exchanges, used>>10)
			is.True(used < maxMemory)
		})
	}
}

// heapInUse returns the bytes of reachable objects.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
