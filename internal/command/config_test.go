package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const testConfig = `{"version":7,
"routes":{"columns":["name","host","pathPrefix","kind","timeout","targetLatency","maxAttempts","weightedBackends","service"],
"rows":[["r1","a.example","/x/","safe","500ms","200ms",2,[{"service":"s1","weight":90},{"service":"s2","weight":10}],null],
["r2","b.example","/y/","unsafe","1.5s","250ms",2,null,"s2"]]},
"services":{"columns":["name","healthPath","maxConns"],"rows":[["s1","/health",110],["s2","/health",110]]},
"limits":{"maxHeaderBytes":16384,"headerTimeout":"3000ms"}}`

// changed returns the test's configuration with replacements.
func changed(t *testing.T, changes ...string) string {
	for i := 0; i < len(changes); i += 2 {
		if !strings.Contains(testConfig, changes[i]) {
			t.Fatalf("the configuration does not contain %s", changes[i])
		}
	}
	return strings.NewReplacer(changes...).Replace(testConfig)
}

// Guards against a check that misses a fault, that ends at the first one, or whose
// exit code says otherwise.
func TestConfigCheck(t *testing.T) {
	for name, tc := range map[string]struct {
		config, against string
		code            int
		want            []string // lines, each by a part
	}{
		"valid":              {config: testConfig, want: []string{"has no findings: version 7, 2 routes, 2 services"}},
		"weight 0":           {config: changed(t, `"weight":10}`, `"weight":0}`), code: 1, want: []string{`finding: route "r1": backend "s2"`}},
		"two findings":       {config: changed(t, `"200ms"`, `"600ms"`, `"/health",110],["s2"`, `"/health",0],["s2"`), code: 1, want: []string{`finding: route "r1": timeout`, `finding: service "s1": 0 conn`}},
		"equal prefix":       {config: changed(t, `"b.example","/y/"`, `"a.example","/x/"`), code: 1, want: []string{`finding: route "r2": never matches`}},
		"all errors":         {config: changed(t, `"version":7`, `"version":0`, `"safe"`, `"odd"`, `null,"s2"`, `null,"s9"`), code: 1, want: []string{"error: platform: configuration: version 0", `route "r1": unknown kind "odd"`, `route "r2": unknown service "s9"`}},
		"only weight 0":      {config: changed(t, `"weight":90`, `"weight":0`, `"weight":10`, `"weight":0`), code: 1, want: []string{`route "r1": service is missing`}},
		"wrong duration":     {config: changed(t, `"3000ms"`, `"3000"`), code: 1, want: []string{`error: platform: configuration: duration "3000"`}},
		"no object":          {config: `[]`, code: 1, want: []string{"error: platform: configuration"}},
		"no JSON":            {config: testConfig[1:], code: 2},
		"empty":              {config: ``, code: 2},
		"same version":       {config: testConfig, against: testConfig, code: 1, want: []string{"finding: version 7 never replaces version 7"}},
		"newer":              {config: changed(t, `"version":7`, `"version":9`, `"1.5s"`, `"2s"`), against: testConfig, want: []string{"difference: configuration: version 7 -> 9", `difference: route "r2": timeout 1.5s -> 2s`, "has no findings"}},
		"older":              {config: changed(t, `"version":7`, `"version":6`), against: testConfig, code: 1, want: []string{"finding: version 6 never replaces version 7", "difference: configuration: version 7 -> 6"}},
		"against no JSON":    {config: testConfig, against: "{", code: 2},
		"against an invalid": {config: testConfig, against: changed(t, `"version":7`, `"version":0`), code: 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "config.json")
			is.NoErr(os.WriteFile(file, []byte(tc.config), 0o600))
			args := []string{"config", "check", file}
			if tc.against != "" {
				other := filepath.Join(t.TempDir(), "other.json")
				is.NoErr(os.WriteFile(other, []byte(tc.against), 0o600))
				args = append(args, "--against", other)
			}
			var out, errs bytes.Buffer
			is.Equal(Main(args, &out, &errs), tc.code)
			is.Equal(errs.Len() > 0, tc.code != 0)
			is.Equal(strings.Count(out.String(), "\n"), len(tc.want))
			for i, line := range strings.SplitN(out.String(), "\n", len(tc.want)+1)[:len(tc.want)] {
				is.True(strings.Contains(line, tc.want[i]))
			}
		})
	}
}

// Guards against a missing file or argument that counts as a check without findings.
func TestConfigCheckWithoutFile(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	missing := filepath.Join(t.TempDir(), "missing.json")
	is.Equal(Main([]string{"config", "check", missing}, &out, &out), ExitUnreadable)
	is.Equal(Main([]string{"config", "check"}, &out, &out), ExitUsage)
	file := filepath.Join(t.TempDir(), "config.json")
	is.NoErr(os.WriteFile(file, []byte(testConfig), 0o600))
	is.Equal(Main([]string{"config", "check", file, "--against", missing}, &out, &out), ExitUnreadable)
}
