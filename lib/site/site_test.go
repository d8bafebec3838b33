package site

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/check"
)

func sampleConfig() *Config {
	split := func(names ...string) (out []Split) {
		for _, n := range names {
			out = append(out, Split{Service: n, Weight: 1})
		}
		return out
	}
	return &Config{
		Version: 3,
		Services: []Service{
			{Name: "engines", Engine: &Engine{Models: []Model{{Name: "m1"}}}},
			{Name: "ledger"},
		},
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Timeout: time.Second, Splits: split("ledger")},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Timeout: time.Second, Splits: split("engines")},
			{Name: "mid", Host: "a.example", Prefix: "/x/", Timeout: time.Second, Splits: split("engines", "ledger")},
		},
	}
}

// Guards against routing a request to the wrong service because of a shorter prefix,
// another host, or the port or letter case of the host.
func TestRoute(t *testing.T) {
	x := NewIndex(sampleConfig())
	for _, c := range []struct{ name, host, path, want string }{
		{"longest prefix", "a.example", "/x/y/z", "deep"},
		{"prefix ends at a slash", "a.example", "/x/yy", "mid"},
		{"shortest prefix", "a.example", "/other", "all"},
		{"host with port", "a.example:8080", "/x/1", "mid"},
		{"host in capitals", "A.Example", "/x/1", "mid"},
		{"unknown host", "b.example", "/x/1", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := ""
			if r := x.Route(c.host, c.path); r != nil {
				got = r.Name
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// Guards against shares that differ from the weights, and against sending requests to a
// service without targets while another one has some.
func TestPick(t *testing.T) {
	r := Route{Splits: []Split{{"a", 90}, {"b", 10}, {"c", 0}}}
	none := func(string) bool { return false }
	count := map[string]int{}
	for i := range 1000 {
		count[r.Pick(float64(i)/1000, none)]++
	}
	assert.DeepEqual(t, count, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, r.Pick(0.5, func(s string) bool { return s == "a" }), "b")
	assert.Equal(t, r.Pick(0.95, func(string) bool { return true }), "b")
}

// Guards against accepting an invalid configuration.
func TestValidate(t *testing.T) {
	for _, c := range []struct {
		name, want string
		change     func(c *Config)
	}{
		{"valid", "", func(*Config) {}},
		{"unknown service", "unknown service", func(c *Config) { c.Routes[0].Splits[0].Service = "gone" }},
		{"same host and prefix", "has the same host and prefix", func(c *Config) { c.Routes[1].Prefix = "/" }},
		{"no weight", "add up to 0", func(c *Config) { c.Routes[0].Splits[0].Weight = 0 }},
		{"negative weight", "is negative", func(c *Config) { c.Routes[2].Splits[0].Weight = -1 }},
		{"no timeout", "not above zero", func(c *Config) { c.Routes[0].Timeout = 0 }},
		{"prefix without slash", "begin and end with a slash", func(c *Config) { c.Routes[0].Prefix = "/x" }},
		{"no host", "has no host", func(c *Config) { c.Routes[0].Host = "" }},
		{"service twice", "is defined twice", func(c *Config) { c.Services[1].Name = "engines" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := sampleConfig()
			c.change(cfg)
			var out check.List
			cfg.Validate(&out)
			err := out.Err()
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, err != nil && strings.Contains(err.Error(), c.want), "%v", err)
		})
	}
}

// Guards against batch requests that go ahead of interactive ones.
func TestUrgency(t *testing.T) {
	chat := Route{Priority: 0, Objective: 400 * time.Millisecond}
	draft := Route{Priority: 1, Objective: 600 * time.Millisecond}
	batch := Route{Priority: 1, Objective: 3 * time.Second}
	assert.Assert(t, chat.EnginePriority() < draft.EnginePriority())
	assert.Assert(t, draft.EnginePriority() < batch.EnginePriority())
	last := Route{Priority: 50}
	assert.Equal(t, last.EnginePriority(), lowestEnginePriority)
}
