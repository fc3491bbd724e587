package wire

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a stand-in that runs a part of a request after it has exited, which
// the soak takes for a request that nobody sent (seed 9530).
func TestStoppedServerRunsNothing(t *testing.T) {
	is := is.New(t)
	s, err := StartServer(NewStore(), ServerOptions{ID: "a", Service: "desk", Zone: "z", Slots: 1})
	is.NoErr(err)
	c, err := net.Dial("tcp", s.Address())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprint(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond) // the server reads the body
	s.Stop()
	time.Sleep(200 * time.Millisecond)
	is.Equal(len(s.Runs()), 0)
}
