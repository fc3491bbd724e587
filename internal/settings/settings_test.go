package settings

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

const good = `
[vm]
id = ba-1
failure_domain = ba-ruzinov
[listen]
peers = 127.0.0.1:7001
[platform]
address = http://127.0.0.1:9000
[peers]
ba-2 = ba-dubravka@127.0.0.1:7002
`

// Guards against missing defaults when only required keys are given.
func TestEntryDefaults(t *testing.T) {
	is := is.New(t)
	e, err := LoadEntry([]byte(good))
	is.NoErr(err)
	is.Equal(e.StopTimeout, 20*time.Second)
	is.Equal(e.Capacity, uint32(1))
	is.Equal(e.Callers.HeaderBytes, 64<<10)
	is.Equal(e.Callers.Connections, 10_000)
	is.Equal(e.Callers.HeadMemory, int64(16<<20))
	is.Equal(e.Peers, []Peer{{VM: "ba-2", FailureDomain: "ba-dubravka", Address: "127.0.0.1:7002"}})
}

// Guards against reporting only the first issue of a file, and against invalid
// values that are replaced by a default without an error.
func TestEveryIssueIsListed(t *testing.T) {
	is := is.New(t)
	_, err := LoadEntry([]byte(`
stray = 1
[vm]
id = ba 1
capacity = many
colour = red
[listen]
callers = localhost:80
peers = 0.0.0.0:7001
operators = 127.0.0.1
[callers]
header_timeout = 5
header_bytes = 1
[platform]
address = https://platform.example
[trace]
exporter = paper
endpoint = http://127.0.0.1:4318
[stop]
timeout = 1s
timeout = 2s
[peers]
ba-2 = 127.0.0.1:7002
ba-3 = ba-dubravka@127.0.0.1:0
[colours]
red = 1
`))
	var issues Issues
	is.True(errors.As(err, &issues))
	got := make(map[string]bool)
	for _, f := range issues {
		got[f.Section+" "+f.Key] = true
		is.True(f.Reason != "")
	}
	want := []string{
		"DEFAULT stray", "vm id", "vm capacity", "vm colour", "vm failure_domain", "listen callers", "listen peers",
		"listen operators", "callers header_timeout", "callers header_bytes", "platform address", "trace exporter",
		"trace endpoint", "stop timeout", "peers ba-2", "peers ba-3", "colours ",
	}
	for _, w := range want {
		if !got[w] {
			t.Errorf("no issue for %q in: %v", w, err)
		}
	}
	is.Equal(len(got), len(want))
}

// Guards against a console that starts with unknown or invalid settings.
func TestConsole(t *testing.T) {
	is := is.New(t)
	c, err := LoadConsole([]byte("[platform]\naddress = http://127.0.0.1:9000/\n"))
	is.NoErr(err)
	is.Equal(c.Platform, "http://127.0.0.1:9000")
	_, err = LoadConsole([]byte("[listen]\ncallers = 127.0.0.1:1\n[console]\nauthor =\n"))
	var issues Issues
	is.True(errors.As(err, &issues))
	is.Equal(len(issues), 3)
}

// Guards against a panic on invalid settings, and against accepted settings
// without a required value.
func FuzzLoadEntry(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte("[vm]\nid = \"\"\"x\n[peers]\n=\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := LoadEntry(data)
		if err == nil && (e.VM == "" || e.FailureDomain == "" || e.Platform == "") {
			t.Fatalf("accepted without a required value: %+v", e)
		}
	})
}
