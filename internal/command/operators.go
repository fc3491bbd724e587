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
)

const (
	// operatorTimeout bounds a question to one VM.
	operatorTimeout = 3 * time.Second
	// maxStatusBytes bounds a VM's answer.
	maxStatusBytes = 8 << 20
)

// errNoStatus says that a VM gave no answer that can be read.
var errNoStatus = errors.New("no readable answer")

// checkVMs rejects what isn't IP:port.
func checkVMs(addresses []string) error {
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return usageError{fmt.Errorf("--vm %q is not an address of the form IP:port", a)}
		}
	}
	return nil
}

// ask sends a question to a VM's operators' listener.
func ask(ctx context.Context, address, path string, query url.Values) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", address, err)
	}
	r.Header.Set("Accept", "application/json")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", address, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxStatusBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", address, err)
	}
	return res.StatusCode, body, nil
}

// decode reads JSON of any shape, as VMs of other versions may say more or less.
func decode(body []byte) (any, error) {
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.UseNumber()
	var v any
	if err := decoder.Decode(&v); err != nil {
		return nil, fmt.Errorf("%w: %w", errNoStatus, err)
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

// usageError marks an error of the command line.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

func isUsage(err error) bool {
	var u usageError
	return errors.As(err, &u)
}
