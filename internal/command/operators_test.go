package command

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// newVM starts a server in place of a VM's operators' listener and returns its
// address.
func newVM(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func runMain(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Main(args, &out, &errs)
	return code, out.String(), errs.String()
}

// Guards against a status command that fails on unknown fields or on a VM
// without /status, or that succeeds although a VM isn't ready.
func TestStatus(t *testing.T) {
	is := is.New(t)
	good := newVM(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/status" {
			_, _ = w.Write([]byte(`{"new_field": [1, {"offset": 18446744073709551615}], "term": null}`))
		}
	})
	old := newVM(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/status" {
			http.NotFound(w, r)
		}
	})
	broken := newVM(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/readyz" {
			http.Error(w, "stopping", http.StatusServiceUnavailable)
		}
	})
	code, out, _ := runMain("status", "--vm", good, "--vm", old)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "18446744073709551615"))
	code, out, errs := runMain("status", "--json", "--vm", good, "--vm", broken, "--vm", "127.0.0.1:1")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(out, `"readiness": "stopping"`))
	is.True(strings.Contains(errs, "2 of 3 VMs"))
}

// Guards against exit code 0 for a key whose requests would be rejected.
func TestExplain(t *testing.T) {
	is := is.New(t)
	vm := newVM(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("key") {
		case "a/b c":
			_, _ = w.Write([]byte(`{"key":"a/b c","range":"s/1","target":"t","why":"because"}`))
		default:
			_, _ = w.Write([]byte(`{"outcome":"no-owner","why":"no map"}`))
		}
	})
	code, out, _ := runMain("explain", "--vm", vm, "--service", "s", "a/b c")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "s/1") && strings.Contains(out, "because"))
	code, out, errs := runMain("explain", "--vm", vm, "--service", "s", "x")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(out, "no map") && strings.Contains(errs, "no-owner"))
}

// Guards against an answer that is shown to the operator as complete although it
// is only the beginning of one.
func TestEndlessAnswer(t *testing.T) {
	is := is.New(t)
	vm := newVM(t, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte(`{"key":"k","range":"s/1","target":"t"}`))
		for spaces := []byte(strings.Repeat(" ", 64<<10)); err == nil; {
			_, err = w.Write(spaces)
		}
	})
	code, out, errs := runMain("explain", "--vm", vm, "--service", "s", "k")
	is.Equal(code, ExitFailed)
	is.Equal(out, "")
	is.True(strings.Contains(errs, "too large"))
}

// Guards against exit codes that differ from those documented by --help.
func TestExitCodes(t *testing.T) {
	for args, want := range map[string]int{
		"--help": ExitOK, "version": ExitOK, "demo --help": ExitOK, "": ExitUsage, "status": ExitUsage,
		"status --vm localhost:1": ExitUsage, "demo --vms 9": ExitUsage, "demo --for x": ExitUsage,
		"demo -d elsewhere": ExitUsage, "console -s /absent": ExitFailed,
	} {
		if code, out, errs := runMain(strings.Fields(args)...); code != want || out+errs == "" {
			t.Errorf("%q: exit code %d, want %d; %s%s", args, code, want, out, errs)
		}
	}
}
