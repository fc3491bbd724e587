package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"celeryhook.example/celeryhook/internal/transport"
)

const (
	// vmTimeout bounds a request to a VM.
	vmTimeout = 3 * time.Second
	// maxResponseBytes bounds the body of a VM's response.
	maxResponseBytes = 8 << 20
)

// vmClient follows redirects, unlike the clients of the gateway: it only reads.
var vmClient = &http.Client{Transport: transport.ValidateStatus(http.DefaultTransport.(*http.Transport).Clone())}

// errUnreadable means that a VM's response can't be decoded.
var errUnreadable = errors.New("no readable answer")

// checkVMs rejects addresses that are not of the form IP:port.
func checkVMs(addresses []string) error {
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return usageError{fmt.Errorf("--vm %q is not an address of the form IP:port", a)}
		}
	}
	return nil
}

// getFromVM sends a GET request to the operators' listener of a VM.
func getFromVM(ctx context.Context, address, path string, query url.Values) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, vmTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", address, err)
	}
	r.Header.Set("Accept", "application/json")
	res, err := vmClient.Do(r)
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", address, err)
	}
	defer res.Body.Close()
	body, err := transport.ReadBody(res, maxResponseBytes)
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", address, err)
	}
	return res.StatusCode, body, nil
}

// decode decodes JSON of any shape, as VMs of other versions may send other
// fields. Numbers keep all digits.
func decode(body []byte) (any, error) {
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.UseNumber()
	var v any
	if err := decoder.Decode(&v); err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreadable, err)
	}
	return v, nil
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

// usageError marks an error in the command line.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

func isUsage(err error) bool {
	var u usageError
	return errors.As(err, &u)
}
