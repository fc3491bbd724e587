package observe

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Guards against bytes of a peer that pass by the bounds of the log: net/http writes
// up to 4 KiB of a response that nobody waits for to the standard error output.
func TestUnsolicitedResponseIsLoggedWithinBounds(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(50 * time.Millisecond) // the connection is idle
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 16<<10))
		time.Sleep(50 * time.Millisecond)
	}))
	defer server.Close()
	var out lockedBuffer
	log, flush := NewBoundedLogger(&out)
	defer flush()
	defer CaptureStandardLog(log)()
	client := &http.Client{Transport: &http.Transport{}}
	res, err := client.Get(server.URL)
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	for range 1000 {
		if out.String() != "" {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	var line struct{ Text string }
	is.NoErr(json.Unmarshal([]byte(out.String()), &line))
	is.True(strings.HasPrefix(line.Text, "Unsolicited response"))
	is.True(len(line.Text) < 2*maxTextBytes)
}
