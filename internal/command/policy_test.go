package command

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/standin/platform"
)

const testPolicy = `
[deployment]
name = test
failure_domains = north, south
[service s]
[target t]
service = s
failure_domain = north
address = 127.0.0.1:7000
[route r]
path = /
service = s
`

// cli runs commands against a stand-in of the platform.
type cli struct {
	t        *testing.T
	platform *platform.Server
	url      string
	out, err bytes.Buffer
}

// newCLI starts a stand-in whose handler is wrapped with wrap, which may be
// nil.
func newCLI(t *testing.T, wrap func(http.Handler) http.Handler) *cli {
	s := platform.NewServer()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	var h http.Handler = s
	if wrap != nil {
		h = wrap(s)
	}
	server := httptest.NewServer(h)
	t.Cleanup(func() { server.Close(); cancel(); <-done })
	return &cli{t: t, platform: s, url: server.URL}
}

func (c *cli) run(want int, args ...string) string {
	c.t.Helper()
	c.out.Reset()
	c.err.Reset()
	if got := Main(append(args, "--platform", c.url, "--timeout", "2s"), &c.out, &c.err); got != want {
		c.t.Fatalf("%v: exit code %d, want %d\n%s%s", args, got, want, &c.out, &c.err)
	}
	return c.out.String() + c.err.String()
}

func writeFile(t *testing.T, document string) string {
	path := filepath.Join(t.TempDir(), "policy.ini")
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against exit codes that don't distinguish an accepted record, an
// invalid one, a conflict and a wrong command line. Scripts rely on them.
func TestPolicyAndDomainCommands(t *testing.T) {
	is := is.New(t)
	c := newCLI(t, nil)
	one, two := writeFile(t, testPolicy), writeFile(t, testPolicy+"method = GET\n[control]\nwitnesses = 2\n")
	bad := writeFile(t, strings.ReplaceAll(testPolicy, "address = ", "address = host"))
	c.run(ExitFailed, "policy", "show")
	is.True(strings.Contains(c.run(ExitOK, "policy", "submit", one, "--author", "anna"), "version 1"))
	is.True(strings.Contains(c.run(ExitInvalid, "policy", "submit", bad), "[target t] address"))
	is.True(strings.Contains(c.run(ExitOK, "policy", "diff", two), "[control] witnesses: 2, was 1"))
	c.run(ExitOK, "policy", "submit", two, "--base", "1")
	is.True(strings.Contains(c.run(ExitConflict, "policy", "submit", one, "--base", "1"), "version 2 stands"))
	is.True(strings.HasPrefix(c.run(ExitOK, "policy", "show"), "# version 2\n"))
	c.run(ExitInvalid, "domain", "out", "east")
	c.run(ExitOK, "domain", "out", "north")
	c.run(ExitInvalid, "domain", "out", "south") // none would remain
	c.run(ExitUsage, "domain", "lost", "north")
	c.run(ExitOK, "domain", "lost", "north", "--confirm")
	c.run(ExitOK, "domain", "in", "north")
	history := c.run(ExitOK, "policy", "history")
	is.True(strings.Contains(history, "1 policy by anna, base 0, accepted"))
	is.True(strings.Contains(history, "in force: policy 2, delegation 5"))
	is.Equal(Main([]string{"policy", "check", bad}, &c.out, &c.err), ExitInvalid)
	is.Equal(Main([]string{"policy", "check", one}, &c.out, &c.err), ExitOK)
	is.Equal(Main([]string{"policy", "show"}, &c.out, &c.err), ExitUsage)
}

// Guards against an outage that is reported as an unknown outcome, or the
// reverse. A retry with the printed id must resolve an unknown outcome without
// appending a second record.
func TestUnavailableAndUnknown(t *testing.T) {
	is := is.New(t)
	var c *cli
	c = newCLI(t, func(inner http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost {
				inner.ServeHTTP(w, r)
				return
			}
			// The append takes effect, then the platform goes down.
			inner.ServeHTTP(httptest.NewRecorder(), r)
			_ = c.platform.SetFaults(r.Context(), platform.Faults{Down: true})
			panic(http.ErrAbortHandler)
		})
	})
	path := writeFile(t, testPolicy)
	text := c.run(ExitUnknown, "policy", "submit", path)
	id := regexp.MustCompile(`--id (\S+)`).FindStringSubmatch(text)
	is.Equal(len(id), 2)
	c.run(ExitUnavailable, "policy", "submit", path)
	c.run(ExitUnavailable, "policy", "show")
	is.NoErr(c.platform.SetFaults(t.Context(), platform.Faults{}))
	is.True(strings.Contains(c.run(ExitOK, "policy", "submit", path, "--id", id[1]), "version 1"))
	is.True(strings.Contains(c.run(ExitOK, "policy", "history"), "in force: policy 1"))
}

// Guards against a lost reply to an append that is reported as an error. The
// command must retry and find the record in the log.
func TestLostReplyIsRetried(t *testing.T) {
	is := is.New(t)
	c := newCLI(t, nil)
	is.NoErr(c.platform.SetFaults(t.Context(), platform.Faults{LoseResponses: 1}))
	is.True(strings.Contains(c.run(ExitOK, "policy", "submit", writeFile(t, testPolicy)), "version 1"))
}
