package configcheck

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/internal/team"
)

func valid() *routing.Config {
	return &routing.Config{
		Version: 7,
		Routes: []routing.Route{
			{
				Name: "r1", Host: "a.example", Prefix: "/x/", Timeout: 500 * time.Millisecond, LatencyObjective: 500 * time.Millisecond,
				MaxAttempts: 25, Backends: []routing.Backend{{Service: "s1", Weight: 0.5}, {Service: "s2", Weight: 2}},
			},
			{Name: "r2", Host: "a.example", Prefix: "/", Timeout: time.Millisecond, MaxAttempts: 1, Backends: []routing.Backend{{Service: "s2", Weight: 1}}},
			{Name: "r3", Host: "b.example", Prefix: "/x/", Timeout: time.Second, MaxAttempts: 2, Backends: []routing.Backend{{Service: "s2", Weight: 1}}},
		},
		Services: []routing.Service{{Name: "s1", MaxConnections: 1}, {Name: "s2", MaxConnections: 10, ColdStart: time.Second, ColdRate: 0.5}},
		Limits:   routing.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: time.Second},
		Teams:    []team.Team{{Name: "a", Keys: []team.Key{"key-of-a"}, Rate: 5}},
	}
}

// Guards against findings in a valid configuration, at the values that are just valid.
func TestValidConfigurationHasNoFindings(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Check(valid())), 0)
	is.Equal(len(Check(&routing.Config{})), 0)
}

// Guards against an entry without effect or a contradiction that isn't found, and
// against one that hides or causes other findings.
func TestEachFaultIsOneFinding(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(c *routing.Config)
		want   string
	}{
		"equal host and prefix":   {func(c *routing.Config) { c.Routes[2].Host = "A.Example" }, `route "r3": never matches: route "r1" has`},
		"host with a port":        {func(c *routing.Config) { c.Routes[2].Host = "b.example:80" }, `route "r3": never matches: host`},
		"weight 0":                {func(c *routing.Config) { c.Routes[0].Backends[1].Weight = 0 }, `route "r1": backend "s2" gets no requests`},
		"negative weight":         {func(c *routing.Config) { c.Routes[0].Backends[1].Weight = -1 }, `route "r1": backend "s2" gets no requests: its weight is -1`},
		"service without route":   {func(c *routing.Config) { c.Routes[0].Backends = c.Routes[0].Backends[1:] }, `service "s1": gets no requests`},
		"service twice":           {func(c *routing.Config) { c.Services = append(c.Services, c.Services[0]) }, `service "s1": is listed twice`},
		"timeout and objective":   {func(c *routing.Config) { c.Routes[0].LatencyObjective++ }, `route "r1": timeout 500ms is below the latency objective`},
		"negative objective":      {func(c *routing.Config) { c.Routes[0].LatencyObjective = -1 }, `route "r1": latency objective -1ns is negative`},
		"attempts":                {func(c *routing.Config) { c.Routes[0].MaxAttempts++ }, `route "r1": 26 attempts`},
		"attempts, short time":    {func(c *routing.Config) { c.Routes[1].MaxAttempts++ }, `route "r2": 2 attempts`},
		"connections":             {func(c *routing.Config) { c.Services[0].MaxConnections = 0 }, `service "s1": 0 connections`},
		"cold start":              {func(c *routing.Config) { c.Services[1].ColdStart = -time.Second }, `service "s2": cold start`},
		"cold rate":               {func(c *routing.Config) { c.Services[1].ColdRate = -0.5 }, `service "s2": cold rate`},
		"negative header bytes":   {func(c *routing.Config) { c.Limits.HeaderBytes = -1 }, `limits: header bytes -1`},
		"negative idle timeout":   {func(c *routing.Config) { c.Limits.IdleTimeout = -1 }, `limits: idle timeout -1ns`},
		"negative body bytes":     {func(c *routing.Config) { c.Limits.BodyBytes = -1 }, `limits: body bytes -1`},
		"negative header timeout": {func(c *routing.Config) { c.Limits.HeaderTimeout = -1 }, `limits: header timeout -1ns`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := valid()
			tc.change(c)
			got := Check(c)
			is.Equal(len(got), 1)
			is.True(strings.HasPrefix(got[0], tc.want))
		})
	}
}

// Guards against a field that is left out of the comparison.
func TestEachFieldIsCompared(t *testing.T) {
	// A Table sets these fields of a service.
	derived := map[string]bool{"LongestRequest": true, "Objective": true, "LoadControl": true}
	for kind, part := range map[string]func(c *routing.Config) any{
		"configuration": func(c *routing.Config) any { return c },
		"limits":        func(c *routing.Config) any { return &c.Limits },
		`route "r1"`:    func(c *routing.Config) any { return &c.Routes[0] },
		`service "s1"`:  func(c *routing.Config) any { return &c.Services[0] },
		`team "a"`:      func(c *routing.Config) any { return &c.Teams[0] },
	} {
		fields := reflect.TypeOf(part(valid())).Elem()
		for i := range fields.NumField() {
			field := fields.Field(i).Name
			_, service := part(valid()).(*routing.Service)
			if service && derived[field] {
				continue
			}
			t.Run(kind+" "+field, func(t *testing.T) {
				is := is.New(t)
				c := valid()
				v := reflect.ValueOf(part(c)).Elem().Field(i)
				switch v.Kind() {
				case reflect.Bool:
					v.SetBool(!v.Bool())
				case reflect.Int, reflect.Int64:
					v.SetInt(v.Int() + 1)
				case reflect.Float64:
					v.SetFloat(v.Float() + 1)
				case reflect.String:
					v.SetString(v.String() + "x")
				default:
					v.SetZero() // routes, services, limits, backends
				}
				got := Diff(valid(), c)
				is.True(len(got) > 0)
				if field != "Routes" && field != "Services" && field != "Limits" && field != "Teams" {
					is.True(strings.HasPrefix(got[0], kind+": ") || field == "Name")
				}
			})
		}
	}
}

// Guards against differences that are shown for equal configurations or by position.
func TestDifferencesAreByName(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Diff(valid(), valid())), 0)
	c := valid()
	c.Version = 8
	c.Routes = append(c.Routes[1:], routing.Route{Name: "r4"})
	c.Routes[0].Timeout = time.Second
	c.Services[0], c.Services[1] = c.Services[1], c.Services[0]
	is.Equal(Diff(valid(), c), []string{
		"configuration: version 7 -> 8", `route "r2": timeout 1ms -> 1s`, `route "r4": added`, `route "r1": removed`,
	})
}

// Guards against routes of one name of which only one is compared.
func TestRoutesOfOneName(t *testing.T) {
	is := is.New(t)
	from, to := valid(), valid()
	for i := range 3 {
		from.Routes[i].Name, to.Routes[i].Name = "r", "r"
	}
	to.Routes = to.Routes[:2]
	to.Routes[1].Priority = 3
	is.Equal(Diff(from, to), []string{`route "r": priority 0 -> 3`, `route "r": removed`})
}
