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

// operator runs commands against a stand-in.
type operator struct {
	t        *testing.T
	platform *platform.Server
	url      string
	out, err bytes.Buffer
}

// newOperator starts a stand-in; wrap may be nil.
func newOperator(t *testing.T, wrap func(http.Handler) http.Handler) *operator {
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
	return &operator{t: t, platform: s, url: server.URL}
}

func (o *operator) run(want int, args ...string) string {
	o.t.Helper()
	o.out.Reset()
	o.err.Reset()
	if got := Main(append(args, "--platform", o.url, "--timeout", "2s"), &o.out, &o.err); got != want {
		o.t.Fatalf("%v: exit code %d, want %d\n%s%s", args, got, want, &o.out, &o.err)
	}
	return o.out.String() + o.err.String()
}

func write(t *testing.T, document string) string {
	path := filepath.Join(t.TempDir(), "policy.ini")
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Exit codes must tell accepted, invalid, raced and a wrong command line
// apart, since scripts act on them.
func TestPolicyAndDomainCommands(t *testing.T) {
	is := is.New(t)
	o := newOperator(t, nil)
	one, two := write(t, testPolicy), write(t, testPolicy+"method = GET\n[control]\nwitnesses = 2\n")
	bad := write(t, strings.ReplaceAll(testPolicy, "address = ", "address = host"))
	o.run(ExitFailed, "policy", "show")
	is.True(strings.Contains(o.run(ExitOK, "policy", "submit", one, "--author", "anna"), "version 1"))
	is.True(strings.Contains(o.run(ExitInvalid, "policy", "submit", bad), "[target t] address"))
	is.True(strings.Contains(o.run(ExitOK, "policy", "diff", two), "[control] witnesses: 2, was 1"))
	o.run(ExitOK, "policy", "submit", two, "--base", "1")
	is.True(strings.Contains(o.run(ExitRaced, "policy", "submit", one, "--base", "1"), "version 2 stands"))
	is.True(strings.HasPrefix(o.run(ExitOK, "policy", "show"), "# version 2\n"))
	o.run(ExitInvalid, "domain", "out", "east")
	o.run(ExitOK, "domain", "out", "north")
	o.run(ExitInvalid, "domain", "out", "south") // none would remain
	o.run(ExitUsage, "domain", "lost", "north")
	o.run(ExitOK, "domain", "lost", "north", "--confirm")
	o.run(ExitOK, "domain", "in", "north")
	history := o.run(ExitOK, "policy", "history")
	is.True(strings.Contains(history, "1 policy by anna, base 0, accepted"))
	is.True(strings.Contains(history, "in force: policy 2, delegation 5"))
	is.Equal(Main([]string{"policy", "check", bad}, &o.out, &o.err), ExitInvalid)
	is.Equal(Main([]string{"policy", "check", one}, &o.out, &o.err), ExitOK)
	is.Equal(Main([]string{"policy", "show"}, &o.out, &o.err), ExitUsage)
}

// An outage must be told from an unknown fate, and the id that is printed must
// resolve an unknown fate without a second record.
func TestUnavailableAndUnknown(t *testing.T) {
	is := is.New(t)
	var o *operator
	o = newOperator(t, func(inner http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost {
				inner.ServeHTTP(w, r)
				return
			}
			// The append takes effect, then the platform goes down.
			inner.ServeHTTP(httptest.NewRecorder(), r)
			_ = o.platform.SetFaults(r.Context(), platform.Faults{Down: true})
			panic(http.ErrAbortHandler)
		})
	})
	path := write(t, testPolicy)
	text := o.run(ExitUnknown, "policy", "submit", path)
	id := regexp.MustCompile(`--id (\S+)`).FindStringSubmatch(text)
	is.Equal(len(id), 2)
	o.run(ExitUnavailable, "policy", "submit", path)
	o.run(ExitUnavailable, "policy", "show")
	is.NoErr(o.platform.SetFaults(t.Context(), platform.Faults{}))
	is.True(strings.Contains(o.run(ExitOK, "policy", "submit", path, "--id", id[1]), "version 1"))
	is.True(strings.Contains(o.run(ExitOK, "policy", "history"), "in force: policy 1"))
}

// A lost answer must be repeated and found, not reported.
func TestLostAnswerIsRepeated(t *testing.T) {
	is := is.New(t)
	o := newOperator(t, nil)
	is.NoErr(o.platform.SetFaults(t.Context(), platform.Faults{LoseResponses: 1}))
	is.True(strings.Contains(o.run(ExitOK, "policy", "submit", write(t, testPolicy)), "version 1"))
}
