package mesh

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/mesh/meshpb"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/roster"
)

// Guards against an append that counts as written because of a message that is no
// response, or of a reply in the body of one.
func TestMessageWithoutAStatusIsNoReply(t *testing.T) {
	is := is.New(t)
	reply, err := proto.Marshal(&meshpb.AppendReply{Offset: 7})
	is.NoErr(err)
	length := "Content-Type: application/protobuf\r\nContent-Length: " + strconv.Itoa(len(reply)) + "\r\n\r\n"
	inner := "HTTP/1.1 200 OK\r\n" + length + string(reply)
	for name, tc := range map[string]struct {
		raw   string
		valid bool
	}{
		"reply":             {inner, true},
		"after early hints": {"HTTP/1.1 103 Early Hints\r\n\r\n" + inner, true},
		"000":               {"HTTP/1.1 000 OK\r\n" + length + string(reply), false},
		"099":               {"HTTP/1.1 099 OK\r\n" + length + string(reply), false},
		"600":               {"HTTP/1.1 600 OK\r\n" + length + string(reply), false},
		"101":               {"HTTP/1.1 101 X\r\n\r\n" + inner, false},
		"103 with a length": {"HTTP/1.1 103 X\r\nContent-Length: " + strconv.Itoa(len(inner)) + "\r\n\r\n" + inner, false},
		"100 with a coding": {"HTTP/1.1 100 X\r\nTransfer-Encoding: chunked\r\n\r\n" + inner, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, tc.raw)
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			peer := NewClient(duty.NewClock()).Peer(roster.Member{VM: "v", Address: l.Addr().String()})
			offset, err := peer.Append(ctx, replica.Owners, 0, nil)
			is.NoErr(ctx.Err())
			if !tc.valid {
				is.True(err != nil)
				return
			}
			is.NoErr(err)
			is.Equal(offset, int64(7))
		})
	}
}
