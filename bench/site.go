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
	// tokenTime is the time per token at batch size 1; in a full batch it is
	// fullBatchSlowdown times as long.
	tokenTime         = 4 * time.Millisecond
	fullBatchSlowdown = 1.5
	// zones is the number of availability zones of a deployment. Each has one entry
	// instance.
	zones = 3
	// sameZoneDelay and crossZoneDelay are the one-way network delays within a zone and
	// between zones.
	sameZoneDelay  = 100 * time.Microsecond
	crossZoneDelay = 500 * time.Microsecond
	// plainSlots and plainTime are the concurrency and the service time of a plain service.
	plainSlots = 64
	plainTime  = 5 * time.Millisecond
)

// deployment is a deployment from section 2 of the design document.
type deployment struct {
	name string
	cfg  *wire.Config
	// engines and plainReplicas are the numbers of replicas of the model service and of
	// the plain service. engineMemory is the accelerator memory per engine, in bytes.
	engines, plainReplicas int
	engineMemory           uint64
	// plainService is the name of the plain service; empty if there is none.
	plainService string
	// clientDelay is the one-way network delay between clients and entry instances.
	clientDelay time.Duration
	// An adapter delays a request by adapterDelayMin to adapterDelayMax while up to
	// adapterConcurrency requests with an adapter are running, and by proportionally more
	// beyond that.
	adapterDelayMin, adapterDelayMax time.Duration
	adapterConcurrency               int
}

// deployments returns both deployments, configured by the operators' files below root.
func deployments(root string) ([]*deployment, error) {
	list := []*deployment{
		{
			name: "inzira", engines: 12, plainReplicas: 3, engineMemory: 40 * gib, plainService: "workshop-ledger",
			clientDelay:     time.Millisecond,
			adapterDelayMin: 5 * time.Millisecond, adapterDelayMax: 10 * time.Millisecond, adapterConcurrency: 40,
		},
		{
			name: "beker", engines: 9, engineMemory: 48 * gib, clientDelay: 3 * time.Millisecond,
			adapterDelayMin: 5 * time.Millisecond, adapterDelayMax: 14 * time.Millisecond, adapterConcurrency: 55,
		},
	}
	for _, d := range list {
		files, err := config.Find([]string{root + "/" + d.name})
		if err != nil {
			return nil, fmt.Errorf("deployment %s: %w", d.name, err)
		}
		if d.cfg, err = config.Load(files); err != nil {
			return nil, fmt.Errorf("deployment %s: %w", d.name, err)
		}
		d.cfg.Version = 1
	}
	return list, nil
}

// configWithoutTeams returns the configuration without teams. In the four measures all
// requests share the targets, because the baselines do not model lending between teams.
func (d *deployment) configWithoutTeams() *wire.Config {
	c := proto.CloneOf(d.cfg)
	c.Teams = nil
	for _, m := range c.Models {
		m.Team = ""
	}
	return c
}

// batchTime returns the time per token in a batch of n requests.
func batchTime(n int) time.Duration {
	return time.Duration(float64(tokenTime) * (1 + (fullBatchSlowdown-1)*float64(max(n-1, 0))/(slots-1)))
}

// workCapacity returns the units of work per second of all engines with full batches.
func (d *deployment) workCapacity() float64 {
	return float64(d.engines*slots) / batchTime(slots).Seconds()
}

// requestCapacity returns the number of short requests per second that the engines can
// serve if half of the prompts hit the prefix cache.
func (d *deployment) requestCapacity() float64 {
	return d.workCapacity() / (meanTokens + meanPrompt/promptTokensPerUnit*(1+cachedShare)/2)
}
