package target

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// sendError classifies the error of a failed exchange by whether the request may
// have reached the target. Only a failure to connect proves that nothing was
// sent.
func sendError(address string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %s: %w", ErrNotSent, address, err)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %s: %w", ErrNotSent, address, err)
	}
	return fmt.Errorf("%w: %s: %w", ErrNoResponse, address, err)
}
