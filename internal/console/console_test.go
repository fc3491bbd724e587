package console

import (
	"context"
	"errors"
	"html"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/standin/platform"
)

const base = `# kept
[deployment]
name = test
failure_domains = a, b, c

[service s]
division = key
timeout = 1s

[target t]
service = s
failure_domain = a
address = 127.0.0.1:9001
slots = 4

[route r]
path = /s/{id}
service = s
key = path:id
`

// flakyLog loses the answers of appends, before or after they took effect.
type flakyLog struct {
	platformlog.Log
	lose, drop bool
	appends    int
}

func (l *flakyLog) Append(ctx context.Context, data []byte) (uint64, error) {
	l.appends++
	if l.drop {
		return 0, platformlog.ErrUnavailable
	}
	offset, err := l.Log.Append(ctx, data)
	if l.lose {
		return 0, platformlog.ErrUnavailable
	}
	return offset, err
}

func newLog(t *testing.T) *flakyLog {
	t.Helper()
	store := platform.NewServer()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go store.Run(ctx)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return &flakyLog{Log: platformlog.NewHTTPLog(server.URL, server.Client())}
}

// Guards against a submission whose fate is told wrongly: a lost answer is
// found in the log, a race names the version in force, and only an append that
// can't be found is unknown.
func TestFateOfSubmission(t *testing.T) {
	is := is.New(t)
	log := newLog(t)
	p := NewLogPolicies(log)
	ctx := context.Background()
	first := p.Submit(ctx, Submission{ID: "1", Document: base})
	is.Equal(first.Fate, FateAccepted)
	log.lose = true
	second := p.Submit(ctx, Submission{ID: "2", Base: first.Offset, Document: base + "\n"})
	is.Equal(second.Fate, FateAccepted) // although the answer was lost
	log.lose = false
	is.Equal(p.Submit(ctx, Submission{ID: "2", Base: first.Offset, Document: base + "\n"}).Offset, second.Offset) // a repeat
	raced := p.Submit(ctx, Submission{ID: "3", Base: first.Offset, Document: base})
	is.Equal(raced.Fate, FateRaced)
	is.Equal(raced.Version.Offset, second.Offset)
	is.Equal(p.Submit(ctx, Submission{ID: "4", Base: second.Offset, Document: "[odd]\n"}).Fate, FateRejected)
	log.drop = true
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	is.Equal(p.Submit(ctx, Submission{ID: "5", Base: second.Offset, Document: base}).Fate, FateUnknown)
	v, err := p.InForce(context.Background())
	is.NoErr(err)
	is.Equal(v, Version{Offset: second.Offset, Document: base + "\n"})
}

type browser struct {
	t      *testing.T
	client *http.Client
	origin string
	page   string
}

var hidden = regexp.MustCompile(`<input type="hidden" name="([a-z]+)" value="([^"]*)">`)

func (b *browser) do(r *http.Request) int {
	b.t.Helper()
	res, err := b.client.Do(r)
	if err != nil {
		b.t.Fatal(err)
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	b.page = string(body)
	return res.StatusCode
}

func (b *browser) get() int {
	r, _ := http.NewRequest(http.MethodGet, b.origin+"/", nil)
	return b.do(r)
}

// press sends the form of the page with a button and some fields.
func (b *browser) press(fields ...string) int {
	b.t.Helper()
	values := url.Values{}
	for _, m := range hidden.FindAllStringSubmatch(b.page, -1) {
		values.Set(m[1], html.UnescapeString(m[2]))
	}
	if _, area, ok := strings.Cut(b.page, `spellcheck="false">`+"\n"); ok {
		text, _, _ := strings.Cut(area, "</textarea>")
		values.Set("document", strings.ReplaceAll(html.UnescapeString(text), "\n", "\r\n"))
	}
	for i := 0; i < len(fields); i += 2 {
		values.Set(fields[i], fields[i+1])
	}
	r, _ := http.NewRequest(http.MethodPost, b.origin+"/draft", strings.NewReader(values.Encode()))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	r.Header.Set("Origin", b.origin)
	return b.do(r)
}

func (b *browser) shows(parts ...string) {
	b.t.Helper()
	for _, p := range parts {
		if !strings.Contains(b.page, p) {
			b.t.Errorf("%q is missing in:\n%s", p, b.page)
		}
	}
}

func newBrowser(t *testing.T, p Policies) *browser {
	t.Helper()
	server := httptest.NewServer(New(p, "operator"))
	t.Cleanup(server.Close)
	jar, _ := cookiejar.New(nil)
	return &browser{t: t, client: &http.Client{Jar: jar, Timeout: 10 * time.Second}, origin: server.URL}
}

// Guards against a console in which a policy can't be changed from end to end,
// faults aren't shown at their fields, or an edit loses comments.
func TestChangePolicy(t *testing.T) {
	is := is.New(t)
	p := NewLogPolicies(newLog(t))
	is.Equal(p.Submit(context.Background(), Submission{ID: "1", Document: base}).Fate, FateAccepted)
	b := newBrowser(t, p)
	is.Equal(b.get(), 200)
	b.shows("based on version 1", "Edit service s", "Deviation bounds", "Branches")
	b.press("open", "target t")
	b.shows(`<label for="key.slots">slots</label>`, `value="4"`)
	b.press("save", "target t", "key.failure_domain", "nowhere", "key.slots", "6")
	b.shows(`aria-invalid="true" aria-describedby="key.failure_domain.fault"`, "nowhere")
	b.press("save", "target t", "key.failure_domain", "b")
	b.shows("Changed [target t] in the draft")
	b.press("add", "target", "name.target", "t 2")
	b.shows("Not added")
	b.press("review", "1")
	b.shows("<ins>+ slots = 6</ins>", "<del>- slots = 4</del>", "# kept", "Submit</button>")
	is.Equal(b.press("submit", "1"), 200)
	b.shows("Accepted as version 2")
	v, err := p.InForce(context.Background())
	is.NoErr(err)
	is.Equal(v.Document, strings.NewReplacer("domain = a", "domain = b", "slots = 4", "slots = 6").Replace(base))
}

// Guards against a race or an unknown fate that the operator isn't told.
func TestRaceAndUnknownFate(t *testing.T) {
	is := is.New(t)
	log := newLog(t)
	p := NewLogPolicies(log)
	b := newBrowser(t, p)
	b.get()
	b.press("review", "1", "document", base)
	is.Equal(p.Submit(context.Background(), Submission{ID: "other", Document: base + "\n"}).Fate, FateAccepted)
	b.press("submit", "1")
	b.shows("another change came first", "Version 1 is in force")
	b.press("review", "1")
	b.shows("Version 1 has come into force since")
	log.drop = true
	b.press("submit", "1")
	b.shows("not known whether the document is in force", "Ask again")
	log.drop = false
	b.press("submit", "1")
	b.shows("Accepted as version 2")
}

// Guards against posts from other sites, other names for the console, and
// markup in a document that becomes part of the page.
func TestProtection(t *testing.T) {
	is := is.New(t)
	log := newLog(t)
	b := newBrowser(t, NewLogPolicies(log))
	b.get()
	first := b.page
	is.Equal(b.press("token", "wrong"), http.StatusForbidden)
	for _, origin := range []string{"http://evil.example", "null", ""} {
		r, _ := http.NewRequest(http.MethodPost, b.origin+"/draft", strings.NewReader(""))
		if origin != "" {
			r.Header.Set("Origin", origin)
		}
		is.Equal(b.do(r), http.StatusForbidden)
	}
	r, _ := http.NewRequest(http.MethodGet, b.origin+"/", nil)
	r.Host = "evil.example"
	is.Equal(b.do(r), http.StatusMisdirectedRequest)
	is.Equal(log.appends, 0)
	b.page = first
	const markup = `</textarea><script>alert(1)</script>`
	b.press("document", "[service "+markup+"]\nx = \""+markup+"\n")
	is.True(!strings.Contains(b.page, "<script"))
}

// Guards against edits that change other lines, and against values that would
// add lines or sections.
func TestDocumentEdits(t *testing.T) {
	is := is.New(t)
	d := parseDocument(base)
	is.Equal(d.String(), base)
	rejected := applyForm(d.find("service s"), url.Values{"key.timeout": {""}, "key.ranges": {"8"}, "new1.key": {"a=b"}, "key.isolation": {"x\n[y]"}})
	is.Equal(len(rejected), 2)
	is.Equal(d.String(), strings.Replace(base, "timeout = 1s", "ranges = 8", 1))
	is.NoErr(d.add("branch b-1"))
	is.True(d.add("branch b-1") != nil)
	is.True(d.add("service a]\n[b") != nil)
	d.remove("branch b-1")
	is.True(!strings.Contains(d.String(), "branch"))
}

type failing struct{ Policies }

func (failing) InForce(context.Context) (Version, error) {
	return Version{}, errors.New("<b>down</b>")
}

// Guards against a platform outage that shows an empty policy as the one in
// force, which an operator might then submit.
func TestPlatformDown(t *testing.T) {
	is := is.New(t)
	b := newBrowser(t, failing{})
	is.Equal(b.get(), http.StatusBadGateway)
	b.shows("can&#39;t be read", "&lt;b&gt;down")
}

// Guards against a document that changes by being read and written.
func FuzzDocument(f *testing.F) {
	f.Add(base)
	f.Add("[a]\n=\n[ b ]\nx=")
	f.Fuzz(func(t *testing.T, text string) {
		once := parseDocument(text).String()
		if twice := parseDocument(once).String(); once != twice {
			t.Fatalf("%q became %q", once, twice)
		}
	})
}
