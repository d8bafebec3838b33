package main

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/config"
	"bulrushpath.example/lib/wire"
)

const (
	gib = 1 << 30
	// slots is the maximum batch size of an engine.
	slots = 16
	// tokenTime is the time per token at batch size 1; in a full batch it is tokenGrowth
	// times as long.
	tokenTime   = 4 * time.Millisecond
	tokenGrowth = 1.5
	// zones is the number of availability zones of a deployment. Each has one entry
	// instance.
	zones = 3
	// nearDelay and farDelay are the one-way network delays within a zone and between zones.
	nearDelay = 100 * time.Microsecond
	farDelay  = 500 * time.Microsecond
	// plainSlots and plainTime are the concurrency and the service time of a plain service.
	plainSlots = 64
	plainTime  = 5 * time.Millisecond
)

// site is a deployment from section 2 of the design document.
type site struct {
	name string
	cfg  *wire.Config
	// engines and plain are the numbers of replicas of the model service and of the plain
	// service. memory is the accelerator memory per engine, in bytes.
	engines, plain int
	memory         uint64
	// service is the name of the plain service; empty if there is none.
	service string
	// clientDelay is the one-way network delay between clients and entry instances.
	clientDelay time.Duration
	// An adapter delays a request by adapterLow to adapterHigh while up to adapterLimit
	// requests with an adapter are running, and by proportionally more beyond that.
	adapterLow, adapterHigh time.Duration
	adapterLimit            int
}

// sites returns both deployments, configured by the operators' files below root.
func sites(root string) ([]*site, error) {
	list := []*site{
		{
			name: "inzira", engines: 12, plain: 3, memory: 40 * gib, service: "workshop-ledger",
			clientDelay: time.Millisecond,
			adapterLow:  5 * time.Millisecond, adapterHigh: 10 * time.Millisecond, adapterLimit: 40,
		},
		{
			name: "beker", engines: 9, memory: 48 * gib, clientDelay: 3 * time.Millisecond,
			adapterLow: 5 * time.Millisecond, adapterHigh: 14 * time.Millisecond, adapterLimit: 55,
		},
	}
	for _, s := range list {
		files, err := config.Find([]string{root + "/" + s.name})
		if err != nil {
			return nil, fmt.Errorf("deployment %s: %w", s.name, err)
		}
		if s.cfg, err = config.Load(files); err != nil {
			return nil, fmt.Errorf("deployment %s: %w", s.name, err)
		}
		s.cfg.Version = 1
	}
	return list, nil
}

// pooled returns the configuration without teams. All requests share the targets in the
// four measures, because the baselines do not model lending between teams.
func (s *site) pooled() *wire.Config {
	c := proto.CloneOf(s.cfg)
	c.Teams = nil
	for _, m := range c.Models {
		m.Team = ""
	}
	return c
}

// batchTime returns the time per token in a batch of n requests.
func batchTime(n int) time.Duration {
	return time.Duration(float64(tokenTime) * (1 + (tokenGrowth-1)*float64(max(n-1, 0))/(slots-1)))
}

// capacity returns the units of work per second of all engines with full batches.
func (s *site) capacity() float64 {
	return float64(s.engines*slots) / batchTime(slots).Seconds()
}

// fits returns the number of short requests per second that the engines can serve if
// half of the prompts hit the prefix cache.
func (s *site) fits() float64 {
	return s.capacity() / (meanTokens + meanPrompt/unitTokens*(1+cachedShare)/2)
}
