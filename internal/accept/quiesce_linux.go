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
	// The filter returns how many bytes of a packet to keep; this is more than
	// any packet has.
	maxPacketBytes = 1 << 18
)

// dropHandshakes attaches a filter to a listener that drops SYN packets.
// Connections whose handshake is under way or complete can still be accepted.
func dropHandshakes(l net.Listener) error {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("accept: %T isn't a TCP listener", l)
	}
	code, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: tcpFlagSYN, SkipFalse: 1},
		bpf.RetConstant{Val: 0},
		bpf.RetConstant{Val: maxPacketBytes},
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
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	}); err != nil {
		return fmt.Errorf("accept: listener's socket: %w", err)
	}
	if optErr != nil {
		return fmt.Errorf("accept: attach filter: %w", optErr)
	}
	return nil
}
