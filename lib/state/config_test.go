package state

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/wire"
)

// Guards against lost updates, decreasing versions and resends that conflict with
// themselves when operators publish concurrently on the same base version.
func TestPublishAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver()
		type version struct {
			model, operator string
			at              time.Time
		}
		history := []version{{}}
		var sent []*wire.PublishRequest
		answers := make(map[string]*wire.PublishReply)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				base := uint64(rapid.IntRange(max(0, len(history)-3), len(history)).Draw(t, "base"))
				model, operator := drawName("m", 3).Draw(t, "model"), drawName("o", 3).Draw(t, "operator")
				id := fmt.Sprint(base, model, operator)
				req := &wire.PublishRequest{
					PublicationId: []byte(id), BaseVersion: base, Operator: operator, Config: testConfig(0, model),
				}
				got := d.publish(req)
				sent = append(sent, req)
				if old, ok := answers[id]; ok {
					assert.Assert(t, proto.Equal(got, old))
					return
				}
				answers[id] = got
				last := history[len(history)-1]
				switch {
				case model == last.model:
					assert.Equal(t, got.GetOutcome(), wire.PublishOutcome_PUBLISH_OUTCOME_UNCHANGED)
				case base != uint64(len(history)-1):
					assert.Equal(t, got.GetOutcome(), wire.PublishOutcome_PUBLISH_OUTCOME_CONFLICT)
					if len(history) > 1 {
						assert.Equal(t, got.GetWinner(), last.operator)
						assert.Equal(t, got.GetWonAtUnixMillis(), last.at.UnixMilli())
					}
				default:
					assert.Equal(t, got.GetOutcome(), wire.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED)
					history = append(history, version{model, operator, d.at})
				}
				assert.Equal(t, got.GetVersion(), uint64(len(history)-1))
			},
			"resend": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip()
				}
				req := rapid.SampledFrom(sent).Draw(t, "request")
				assert.Assert(t, proto.Equal(d.publish(req), answers[string(req.GetPublicationId())]))
			},
			"pass":    d.advanceTime,
			"restart": d.restart,
			"": func(t *rapid.T) {
				assert.Equal(t, d.m.Config().GetVersion(), uint64(len(history)-1))
				if len(history) > 1 {
					assert.Equal(t, d.m.Config().GetModels()[0].GetName(), history[len(history)-1].model)
				}
			},
		})
	})
}

// Guards against memory use that grows with every publication, and against removing
// newer publications before older ones.
func TestPublicationsAreBounded(t *testing.T) {
	d := newDriver()
	req := func(i int) *wire.PublishRequest {
		return &wire.PublishRequest{
			PublicationId: fmt.Append(nil, "p", i), BaseVersion: uint64(i), Config: testConfig(0, fmt.Sprint("m", i)),
		}
	}
	for i := range maxPublications + 10 {
		d.publish(req(i))
	}
	assert.Equal(t, len(d.m.config.byID), maxPublications)
	assert.Equal(t, d.publish(req(10)).GetOutcome(), wire.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED)
	assert.Equal(t, d.publish(req(9)).GetOutcome(), wire.PublishOutcome_PUBLISH_OUTCOME_CONFLICT)
}

// Guards against accepting an invalid configuration, and against reporting only the
// first of several findings.
func TestValidateReportsAllFindings(t *testing.T) {
	valid := func() *wire.Config {
		c := testConfig(time.Hour, "m1", "m2")
		c.Teams = []*wire.Team{{Name: "a", LendPercent: 50}}
		c.Services = []*wire.Service{{Name: "s", Routes: []*wire.Route{{Method: "POST", PathPrefix: "/pay"}}}}
		return c
	}
	assert.NilError(t, Validate(valid()))
	cases := map[string]func(*wire.Config){
		"duplicate model": func(c *wire.Config) { c.Models[1].Name = "m1" },
		"duplicate team":  func(c *wire.Config) { c.Teams = append(c.Teams, c.Teams[0]) },
		"duplicate adapter": func(c *wire.Config) {
			a := &wire.Adapter{Name: "x", Bytes: 1}
			c.Models[0].Adapters = []*wire.Adapter{a, a}
		},
		"duplicate route": func(c *wire.Config) { r := c.Services[0]; r.Routes = append(r.Routes, r.Routes[0]) },
		"name":            func(c *wire.Config) { c.Models[0].Name = "a b" },
		"unknown team":    func(c *wire.Config) { c.Models[0].Team = "b" },
		"no bytes":        func(c *wire.Config) { c.Models[0].Bytes = 0 },
		"no copies":       func(c *wire.Config) { c.Models[0].MinCopies = 0 },
		"copies":          func(c *wire.Config) { c.Models[0].MinCopies, c.Models[0].MaxCopies = 3, 2 },
		"percent":         func(c *wire.Config) { c.Teams[0].LendPercent = 101 },
		"retention":       func(c *wire.Config) { c.Policy.ClaimRetentionMillis = 1 << 40 },
		"weight store":    func(c *wire.Config) { c.WeightStore = &wire.WeightStore{} },
		"size":            func(c *wire.Config) { c.Services[0].Routes[0].PathPrefix = "/" + string(make([]byte, maxConfigBytes)) },
	}
	all := valid()
	for name, mutate := range cases {
		c := valid()
		mutate(c)
		assert.Assert(t, Validate(c) != nil, name)
	}
	all.Models[0].Bytes, all.Teams[0].LendPercent = 0, 101
	assert.ErrorContains(t, Validate(all), "\n")
}
