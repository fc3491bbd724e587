package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/internal/team"
	"celeryhook.example/celeryhook/internal/upstream"
)

// teamConfig returns a configuration with two teams and an anonymous route.
func teamConfig(version int64, teams ...team.Team) routing.Config {
	backend := []routing.Backend{{Service: "s", Weight: 1}}
	route := routing.Route{Host: "h", Idempotent: true, Timeout: 5 * time.Second, LatencyObjective: time.Second, Priority: 4, Backends: backend, MaxAttempts: 2}
	named, anonymous := route, route
	named.Name, named.Prefix = "named", "/safe/"
	anonymous.Name, anonymous.Prefix, anonymous.Anonymous = "anonymous", "/open/", true
	return routing.Config{
		Version: version, Services: []routing.Service{{Name: "s"}}, Limits: routing.Limits{BodyBytes: 1 << 20},
		Routes: []routing.Route{named, anonymous}, Teams: teams,
	}
}

var (
	red  = team.Team{Name: "red", Keys: []team.Key{"red-1", "red-2"}, Priority: 1, HasPriority: true}
	blue = team.Team{Name: "blue", Keys: []team.Key{"blue-1"}}
)

func teamFixture(t *testing.T) *fixture {
	f := newFixture(t, nil)
	is.New(t).True(f.Routes.Apply(teamConfig(2, red, blue)))
	return f
}

// sendHeaders sends a request with headers given as they are on the wire, and
// returns the status.
func (f *fixture) sendHeaders(t *testing.T, path, headers string) int {
	is := is.New(t)
	c, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.NoErr(c.SetDeadline(time.Now().Add(30 * time.Second)))
	_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\nId: r\r\nConnection: close\r\n"+headers+"\r\n")
	is.NoErr(err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(res.Header.Get("WWW-Authenticate") == "Token", res.StatusCode == 401)
	for _, key := range append(red.Keys, blue.Keys...) {
		is.True(!strings.Contains(string(body), string(key)))
	}
	return res.StatusCode
}

// Guards against a key that reaches a target, a team's name that the caller has
// chosen, and a request without a valid key that is sent.
func TestTargetsLearnTheTeamAndNeverTheKey(t *testing.T) {
	for name, c := range map[string]struct {
		path, headers string
		status        int
		team          string
	}{
		"key":                   {"/safe/1", "Authorization: Token red-1\r\n", 200, "red"},
		"second key":            {"/safe/1", "authorization: Token red-2\r\n", 200, "red"},
		"other team":            {"/safe/1", "AUTHORIZATION: Token blue-1\r\n", 200, "blue"},
		"claimed name":          {"/safe/1", "Team: red\r\nAuthorization: Token blue-1\r\nteam: red\r\n", 200, "blue"},
		"name is hop by hop":    {"/safe/1", "Connection: Team\r\nTeam: red\r\nAuthorization: Token blue-1\r\n", 200, "blue"},
		"key is hop by hop":     {"/safe/1", "Connection: Authorization\r\nAuthorization: Token blue-1\r\n", 200, "blue"},
		"no key":                {"/safe/1", "", 401, ""},
		"only a name":           {"/safe/1", "Team: red\r\n", 401, ""},
		"empty key":             {"/safe/1", "Authorization: Token \r\n", 401, ""},
		"unknown key":           {"/safe/1", "Authorization: Token red-3\r\n", 401, ""},
		"prefix of a key":       {"/safe/1", "Authorization: Token red-\r\n", 401, ""},
		"longer than a key":     {"/safe/1", "Authorization: Token red-11\r\n", 401, ""},
		"two keys":              {"/safe/1", "Authorization: Token red-1\r\nAuthorization: Token red-1\r\n", 401, ""},
		"two keys in one line":  {"/safe/1", "Authorization: Token red-1, Token red-1\r\n", 401, ""},
		"other scheme":          {"/safe/1", "Authorization: Bearer red-1\r\n", 401, ""},
		"no scheme":             {"/safe/1", "Authorization: red-1\r\n", 401, ""},
		"long key":              {"/safe/1", "Authorization: Token " + strings.Repeat("r", 64<<10) + "\r\n", 401, ""},
		"anonymous":             {"/open/1", "", 200, ""},
		"anonymous, name":       {"/open/1", "Team: red\r\n", 200, ""},
		"anonymous, key":        {"/open/1", "Authorization: Token red-1\r\nTeam: red\r\n", 200, ""},
		"anonymous, odd key":    {"/open/1", "Authorization: Bearer, \"red-1\"\r\n", 200, ""},
		"anonymous, old key":    {"/open/1", "Authorization: Token red-0\r\n", 200, ""},
		"anonymous, second key": {"/open/1", "Authorization: Bearer x\r\nAuthorization: Token red-1\r\n", 200, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := teamFixture(t)
			is.Equal(f.sendHeaders(t, c.path, c.headers), c.status)
			if c.status != 200 {
				is.Equal(f.exchanger.count(), 0)
				return
			}
			is.Equal(f.exchanger.count(), 1)
			sent := f.exchanger.sent[0].Header
			for name, values := range sent {
				is.True(!strings.Contains(strings.Join(values, " "), "red-"))
				is.True(!strings.Contains(strings.Join(values, " "), "blue-"))
				is.True(!strings.EqualFold(name, "Authorization"))
			}
			var want []string
			if c.team != "" {
				want = []string{c.team}
			}
			is.Equal(sent.Values("Team"), want)
		})
	}
}

// Guards against a credential of the application itself that is removed on an
// anonymous route.
func TestOtherCredentialsPassOnAnonymousRoutes(t *testing.T) {
	is := is.New(t)
	f := teamFixture(t)
	is.Equal(f.sendHeaders(t, "/open/1", "Authorization: Bearer of-the-application\r\n"), 200)
	is.Equal(f.exchanger.sent[0].Header.Get("Authorization"), "Bearer of-the-application")
}

// Guards against teams that change anything while the configuration has none.
func TestWithoutTeamsHeadersPass(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	is.Equal(f.sendHeaders(t, "/safe/1", "Authorization: Token red-1\r\nTeam: red\r\n"), 200)
	sent := f.exchanger.sent[0].Header
	is.Equal(sent.Get("Authorization"), "Token red-1")
	is.Equal(sent.Get("Team"), "red")
	is.Equal(f.balancer.requests[0].Priority, 0)
	is.Equal(f.sendHeaders(t, "/safe/1", ""), 200)
}

// Guards against the route's priority in place of the team's, and against a team
// without a priority that gets the most urgent one.
func TestPriorityOfTheTeam(t *testing.T) {
	is := is.New(t)
	f := teamFixture(t)
	is.Equal(f.sendHeaders(t, "/safe/1", "Authorization: Token red-1\r\n"), 200)
	is.Equal(f.sendHeaders(t, "/safe/1", "Authorization: Token blue-1\r\n"), 200)
	is.Equal(f.sendHeaders(t, "/open/1", ""), 200)
	is.Equal(f.balancer.requests[0].Priority, 1)
	is.Equal(f.balancer.requests[1].Priority, 4)
	is.Equal(f.balancer.requests[2].Priority, 4)
}

// Guards against an unknown key that is answered with 401 before a configuration is
// known, or by a configuration so old that the key may have been added since.
func TestUnknownKeyNeedsARecentConfiguration(t *testing.T) {
	is := is.New(t)
	f := teamFixture(t)
	age := time.Duration(0)
	f.ConfigAge = func() time.Duration { return age }
	f.Identity = IdentityLimits{Apply: 2500 * time.Millisecond, Revoke: 5 * time.Second}
	unknown, known := "Authorization: Token red-3\r\n", "Authorization: Token red-1\r\n"
	for _, c := range []struct {
		age            time.Duration
		strict         bool
		unknown, known int
	}{
		{2500 * time.Millisecond, true, 401, 200},
		{2501 * time.Millisecond, true, 503, 200},
		{5 * time.Second, true, 503, 200},
		{5001 * time.Millisecond, true, 503, 503},
		{time.Hour, false, 503, 200},
	} {
		age, f.Identity.Strict = c.age, c.strict
		is.Equal(f.sendHeaders(t, "/safe/1", unknown), c.unknown)
		is.Equal(f.sendHeaders(t, "/safe/1", known), c.known)
		is.Equal(f.sendHeaders(t, "/safe/1", ""), 401) // no version allows it
	}

	empty := newFixture(t, nil)
	empty.Routes = &routing.ActiveTable{}
	is.Equal(empty.sendHeaders(t, "/safe/1", unknown), 503)
}

// Guards against a key that stays valid on a connection that is open when it is
// revoked, or while a body is read, and against a request that runs under the name
// that its key had before.
func TestRevokedKeyOnAnOpenConnection(t *testing.T) {
	for name, c := range map[string]struct {
		next   []team.Team
		status int
		team   string
	}{
		"revoked": {[]team.Team{blue}, 401, ""},
		"moved":   {[]team.Team{blue, {Name: "green", Keys: red.Keys}}, 200, "green"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := teamFixture(t)
			c1, err := net.Dial("tcp", f.address)
			is.NoErr(err)
			defer func() { _ = c1.Close() }()
			is.NoErr(c1.SetDeadline(time.Now().Add(30 * time.Second)))
			r := bufio.NewReader(c1)
			read := func() int {
				res, err := http.ReadResponse(r, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, res.Body)
				is.NoErr(err)
				return res.StatusCode
			}
			const head = "POST /safe/1 HTTP/1.1\r\nHost: h\r\nId: r\r\nAuthorization: Token red-1\r\nContent-Length: 4\r\n\r\n"
			_, err = io.WriteString(c1, head+"body")
			is.NoErr(err)
			is.Equal(read(), 200)
			_, err = io.WriteString(c1, head+"bo")
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond) // the VM waits for the rest of the body
			is.True(f.Routes.Apply(teamConfig(3, c.next...)))
			_, err = io.WriteString(c1, "dy")
			is.NoErr(err)
			is.Equal(read(), c.status)
			if c.status == 200 {
				is.Equal(f.exchanger.sent[1].Header.Values("Team"), []string{c.team})
			} else {
				is.Equal(f.exchanger.count(), 1)
			}
		})
	}
}

// Guards against requests of two teams that count as the same one, as after the
// removal of the keys nothing else may tell them apart.
func TestFingerprintDependsOnTheTeam(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(context.Context, int, *upstream.Request) (*upstream.Response, error) {
		return nil, upstream.ErrConnectionLost
	})
	is.True(f.Routes.Apply(teamConfig(2, red, blue)))
	for _, key := range []string{"red-1", "red-2", "blue-1"} {
		f.sendHeaders(t, "/safe/1", fmt.Sprintf("Authorization: Token %s\r\n", key))
	}
	lost := f.quarantine.lost
	is.Equal(len(lost), 6)
	is.Equal(lost[0], lost[2])
	is.True(lost[0] != lost[4])
}
