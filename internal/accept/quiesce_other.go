//go:build !linux

package accept

import (
	"errors"
	"net"
)

func dropHandshakes(net.Listener) error {
	return errors.New("accept: socket filters are not supported on this system")
}
