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

const basePolicy = `# kept
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

// flakyLog is a log whose appends fail: with dropRequests before they take
// effect, with dropReplies after that.
type flakyLog struct {
	platformlog.Log
	dropReplies, dropRequests bool
	appends                   int
}

func (l *flakyLog) Append(ctx context.Context, data []byte) (uint64, error) {
	l.appends++
	if l.dropRequests {
		return 0, platformlog.ErrUnavailable
	}
	offset, err := l.Log.Append(ctx, data)
	if l.dropReplies {
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

// Guards against a wrong outcome of a submission. If the reply to an append is
// lost, the record must be found in the log; a conflict must return the version
// in force; the outcome is unknown only if the record can't be found.
func TestOutcomeOfSubmission(t *testing.T) {
	is := is.New(t)
	log := newLog(t)
	p := NewLogPolicyStore(log)
	ctx := context.Background()
	first := p.Submit(ctx, Submission{ID: "1", Document: basePolicy})
	is.Equal(first.Fate, OutcomeAccepted)
	log.dropReplies = true
	second := p.Submit(ctx, Submission{ID: "2", Base: first.Offset, Document: basePolicy + "\n"})
	is.Equal(second.Fate, OutcomeAccepted) // although the reply was lost
	log.dropReplies = false
	is.Equal(p.Submit(ctx, Submission{ID: "2", Base: first.Offset, Document: basePolicy + "\n"}).Offset, second.Offset) // a retry
	conflict := p.Submit(ctx, Submission{ID: "3", Base: first.Offset, Document: basePolicy})
	is.Equal(conflict.Fate, OutcomeConflict)
	is.Equal(conflict.Version.Offset, second.Offset)
	is.Equal(p.Submit(ctx, Submission{ID: "4", Base: second.Offset, Document: "[odd]\n"}).Fate, OutcomeRejected)
	log.dropRequests = true
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	is.Equal(p.Submit(ctx, Submission{ID: "5", Base: second.Offset, Document: basePolicy}).Fate, OutcomeUnknown)
	v, err := p.InForce(context.Background())
	is.NoErr(err)
	is.Equal(v, Version{Offset: second.Offset, Document: basePolicy + "\n"})
}

// browser keeps the current page and posts its forms with cookies, as a web
// browser does.
type browser struct {
	t      *testing.T
	client *http.Client
	origin string
	page   string
}

var hiddenInput = regexp.MustCompile(`<input type="hidden" name="([a-z]+)" value="([^"]*)">`)

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

// press submits the form of the current page. fields are pairs of name and
// value, of the button and of the inputs to change.
func (b *browser) press(fields ...string) int {
	b.t.Helper()
	values := url.Values{}
	for _, m := range hiddenInput.FindAllStringSubmatch(b.page, -1) {
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

func (b *browser) expect(parts ...string) {
	b.t.Helper()
	for _, p := range parts {
		if !strings.Contains(b.page, p) {
			b.t.Errorf("%q is missing in:\n%s", p, b.page)
		}
	}
}

func newBrowser(t *testing.T, p PolicyStore) *browser {
	t.Helper()
	server := httptest.NewServer(New(p, "operator"))
	t.Cleanup(server.Close)
	jar, _ := cookiejar.New(nil)
	return &browser{t: t, client: &http.Client{Jar: jar, Timeout: 10 * time.Second}, origin: server.URL}
}

// Guards against a change of a policy that fails between the first form and
// the submission, against validation errors that aren't shown at their fields,
// and against edits that lose comments.
func TestChangePolicy(t *testing.T) {
	is := is.New(t)
	p := NewLogPolicyStore(newLog(t))
	is.Equal(p.Submit(context.Background(), Submission{ID: "1", Document: basePolicy}).Fate, OutcomeAccepted)
	b := newBrowser(t, p)
	is.Equal(b.get(), 200)
	b.expect("based on version 1", "Edit service s", "Deviation bounds", "Branches")
	b.press("open", "target t")
	b.expect(`<label for="key.slots">slots</label>`, `value="4"`)
	b.press("save", "target t", "key.failure_domain", "nowhere", "key.slots", "6")
	b.expect(`aria-invalid="true" aria-describedby="key.failure_domain.fault"`, "nowhere")
	b.press("save", "target t", "key.failure_domain", "b")
	b.expect("Changed [target t] in the draft")
	b.press("add", "target", "name.target", "t 2")
	b.expect("Not added")
	b.press("review", "1")
	b.expect("<ins>+ slots = 6</ins>", "<del>- slots = 4</del>", "# kept", "Submit</button>")
	is.Equal(b.press("submit", "1"), 200)
	b.expect("Accepted as version 2")
	v, err := p.InForce(context.Background())
	is.NoErr(err)
	is.Equal(v.Document, strings.NewReplacer("domain = a", "domain = b", "slots = 4", "slots = 6").Replace(basePolicy))
}

// Guards against a conflict or an unknown outcome that isn't shown to the
// operator.
func TestConflictAndUnknownOutcome(t *testing.T) {
	is := is.New(t)
	log := newLog(t)
	p := NewLogPolicyStore(log)
	b := newBrowser(t, p)
	b.get()
	b.press("review", "1", "document", basePolicy)
	is.Equal(p.Submit(context.Background(), Submission{ID: "other", Document: basePolicy + "\n"}).Fate, OutcomeAccepted)
	b.press("submit", "1")
	b.expect("another change came first", "Version 1 is in force")
	b.press("review", "1")
	b.expect("Version 1 has come into force since")
	log.dropRequests = true
	b.press("submit", "1")
	b.expect("not known whether the document is in force", "Ask again")
	log.dropRequests = false
	b.press("submit", "1")
	b.expect("Accepted as version 2")
}

// Guards against cross-site posts, DNS rebinding, and markup in a document that
// is not escaped.
func TestProtection(t *testing.T) {
	is := is.New(t)
	log := newLog(t)
	b := newBrowser(t, NewLogPolicyStore(log))
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

// Guards against edits that change other lines, and against values that add
// lines or sections.
func TestDocumentEdits(t *testing.T) {
	is := is.New(t)
	d := parseDocument(basePolicy)
	is.Equal(d.String(), basePolicy)
	rejected := applyForm(d.find("service s"), url.Values{"key.timeout": {""}, "key.ranges": {"8"}, "new1.key": {"a=b"}, "key.isolation": {"x\n[y]"}})
	is.Equal(len(rejected), 2)
	is.Equal(d.String(), strings.Replace(basePolicy, "timeout = 1s", "ranges = 8", 1))
	is.NoErr(d.add("branch b-1"))
	is.True(d.add("branch b-1") != nil)
	is.True(d.add("service a]\n[b") != nil)
	d.remove("branch b-1")
	is.True(!strings.Contains(d.String(), "branch"))
}

type unavailableStore struct{ PolicyStore }

func (unavailableStore) InForce(context.Context) (Version, error) {
	return Version{}, errors.New("<b>down</b>")
}

// Guards against an outage of the platform that is shown as an empty policy,
// which an operator might then submit.
func TestPlatformDown(t *testing.T) {
	is := is.New(t)
	b := newBrowser(t, unavailableStore{})
	is.Equal(b.get(), http.StatusBadGateway)
	b.expect("can&#39;t be read", "&lt;b&gt;down")
}

// Guards against documents that change when they are parsed and written.
func FuzzDocument(f *testing.F) {
	f.Add(basePolicy)
	f.Add("[a]\n=\n[ b ]\nx=")
	f.Fuzz(func(t *testing.T, text string) {
		once := parseDocument(text).String()
		if twice := parseDocument(once).String(); once != twice {
			t.Fatalf("%q became %q", once, twice)
		}
	})
}
