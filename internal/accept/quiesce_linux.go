package accept

import (
	"fmt"
	"net"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

const (
	// The kernel runs a listener's filter on the TCP header.
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
	wholePacket    = 1 << 18
)

// dropHandshakes makes the kernel ignore new connections to a listener, while
// those whose handshake is under way or done can still be accepted.
func dropHandshakes(l net.Listener) error {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("accept: %T isn't a TCP listener", l)
	}
	code, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: tcpFlagSYN, SkipFalse: 1},
		bpf.RetConstant{Val: 0},
		bpf.RetConstant{Val: wholePacket},
	})
	if err != nil {
		return fmt.Errorf("accept: assemble filter: %w", err)
	}
	filter := make([]unix.SockFilter, len(code))
	for i, c := range code {
		filter[i] = unix.SockFilter{Code: c.Op, Jt: c.Jt, Jf: c.Jf, K: c.K}
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return fmt.Errorf("accept: listener's socket: %w", err)
	}
	var set error
	if err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	}); err != nil {
		return fmt.Errorf("accept: listener's socket: %w", err)
	}
	if set != nil {
		return fmt.Errorf("accept: attach filter: %w", set)
	}
	return nil
}
