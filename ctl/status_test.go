package main

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/wire"
)

func sampleStatus() *wire.StatusReply {
	return &wire.StatusReply{
		Leader: "c1", Term: 3, ConfigVersion: 7, Operator: "anne",
		Config: &wire.Config{Models: []*wire.Model{{
			Name: "tally", Version: "2", Team: "cup", Bytes: 4 << 30, MinCopies: 2, MaxCopies: 4,
			Adapters: []*wire.Adapter{{Name: "agents", Bytes: 1 << 20}},
		}}},
		Processes: []*wire.ProcessStatus{
			{Name: "e1", Role: wire.Role_ROLE_ENTRY, ConfigVersion: 7},
			{Name: "t1", Role: wire.Role_ROLE_AGENT, ConfigVersion: 6, AgeMillis: 1500},
		},
		Targets: []*wire.Announcement{{
			Target: "t1", Zone: "a", Phase: wire.Phase_PHASE_READY, MemoryBytes: 16 << 30,
			Resident: []*wire.Copy{
				{Model: "tally", Version: "2", Bytes: 4 << 30},
				{Model: "tally", Version: "2", Adapter: "agents", Bytes: 1 << 20},
			},
		}},
		Decisions: []string{"load tally@2 at t2: repair", "load orders@1 at t3: growth"},
	}
}

// TestOutdatedProcesses checks that processes with an older version are found. Without
// them, publish would report a version as in effect too early.
func TestOutdatedProcesses(t *testing.T) {
	assert.DeepEqual(t, outdatedProcesses(sampleStatus(), 7), []string{"t1 (version 6, last contact 1.5s ago)"})
	assert.Equal(t, len(outdatedProcesses(sampleStatus(), 6)), 0)
}

// TestExplainModel checks that the explanation includes why a model has too few copies.
func TestExplainModel(t *testing.T) {
	assert.DeepEqual(t, explain(sampleStatus(), "tally"), []string{
		"model tally, version 2, of team cup: 4.0 GiB, 1 adapters, wants 2 to 4 copies, priority 0",
		"  resident at t1 in zone a (ready), 1 of 1 adapters",
		"  1 of 2 wanted copies are ready; largest free memory of a ready target: 12.0 GiB",
		"  decided: load tally@2 at t2: repair",
	})
	assert.Equal(t, len(explain(sampleStatus(), "nothing")), 0)
}

// TestPrintStatusOfEmptyGroup checks that missing fields in the status do not cause a panic.
func TestPrintStatusOfEmptyGroup(t *testing.T) {
	var out bytes.Buffer
	printStatus(&out, &wire.StatusReply{Targets: []*wire.Announcement{{Target: "t"}}})
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("published by none at never")))
}
