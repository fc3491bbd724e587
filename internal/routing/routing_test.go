package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
)

func table(routes ...Route) *Table { return NewTable(Config{Version: 1, Routes: routes}) }

// Guards against routing a request by a prefix that isn't the longest match, or
// by a prefix of another host.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	tab := table(
		Route{Name: "short", Host: "a.example", Prefix: "/x/"},
		Route{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		Route{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	)
	is.Equal(tab.Find("a.example", "/x/y/z/1").Name, "long")
	is.Equal(tab.Find("A.example:8080", "/x/z").Name, "short")
	is.True(tab.Find("a.example", "/x") == nil) // a prefix ends with a slash
	is.True(tab.Find("c.example", "/x/y/") == nil)
}

// Guards against shares that drift from their weights, however short the window.
func TestBackendsGetTheirWeight(t *testing.T) {
	is := is.New(t)
	r := table(Route{Host: "h", Prefix: "/", Backends: []Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}).Find("h", "/")
	got := map[core.Service]int{}
	for range 200 {
		got[r.Pick()]++
	}
	is.Equal(got["a"], 180)
	is.Equal(got["b"], 20)
}

// Guards against activating an older version of the configuration.
func TestActiveTableRejectsOlderVersions(t *testing.T) {
	is := is.New(t)
	var h ActiveTable
	is.True(h.Apply(Config{Version: 5}))
	is.True(!h.Apply(Config{Version: 4}))
	is.True(!h.Apply(Config{Version: 5}))
	is.True(h.Apply(Config{Version: 9}))
	is.Equal(h.Table().Version(), int64(9))
}

// Guards against a time for the requests of a service that leaves out the routes
// that send it only a part.
func TestLongestRequestOfAService(t *testing.T) {
	is := is.New(t)
	tab := NewTable(Config{Version: 1, Services: []Service{{Name: "a"}, {Name: "b"}, {Name: "c"}}, Routes: []Route{
		{Host: "h", Prefix: "/x/", Timeout: time.Second, Backends: []Backend{{Service: "a", Weight: 1}}},
		{Host: "h", Prefix: "/y/", Timeout: 3 * time.Second, Backends: []Backend{{Service: "a", Weight: 1}, {Service: "b", Weight: 9}}},
	}})
	is.Equal(tab.Services()["a"].LongestRequest, 3*time.Second)
	is.Equal(tab.Services()["b"].LongestRequest, 3*time.Second)
	is.Equal(tab.Services()["c"].LongestRequest, time.Duration(0))
}
