package member

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/wire"
)

// BenchmarkSync measures one Sync of every agent and entry instance per simulated
// second, encoding and decoding included. Each second 1 of 1,600 targets changes its
// record. There are 510 entry instances per 6,400 targets, and at least 8.
func BenchmarkSync(b *testing.B) {
	for _, targets := range []int{100, 1000, 6400} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) { benchmarkSync(b, targets, max(8, targets*510/6400)) })
	}
}

func benchmarkSync(b *testing.B, targets, entries int) {
	tab, now := newLeaderTable(), epoch
	encoded := make([][]byte, targets)
	for i := range encoded {
		encoded[i] = encode(&wire.SyncRequest{
			Protocol: 1, Role: wire.Role_ROLE_AGENT, Name: fmt.Sprintf("target-%05d", i), Zone: "zone-1", ConfigVersion: 12345,
			WaitMillis: 1000, Announcement: announcement(fmt.Sprintf("target-%05d", i), 1, wire.Phase_PHASE_READY, 8),
		})
	}
	replicas := make([]replica, entries)
	var agentBytes, entryBytes, syncs int
	runSecond := func() {
		now = now.Add(time.Second)
		for i, data := range encoded {
			var req wire.SyncRequest
			if err := proto.Unmarshal(data, &req); err != nil {
				b.Fatal(err)
			}
			a := req.GetAnnouncement()
			if (i*7919+int(now.Unix()))%1600 == 0 {
				a.Resident = a.Resident[:7]
			}
			tab.RecordSync(now, req.GetRole(), req.GetName(), req.GetZone(), req.GetConfigVersion())
			tab.Announce(now, a)
			reply := encode(&wire.SyncReply{Protocol: 1, ConfigVersion: 12345, DirectoryWarm: true})
			agentBytes += len(data) + len(reply)
		}
		for i := range replicas {
			m := &replicas[i]
			name := fmt.Sprintf("entry-%03d", i)
			tab.RecordSync(now, wire.Role_ROLE_ENTRY, name, "zone-1", 12345)
			d := tab.ChangesSince(m.term, m.version)
			m.term, m.version = d.Term, d.Version
			entryBytes += len(encode(&wire.SyncReply{
				Protocol: 1, ConfigVersion: 12345, DirectoryTerm: d.Term, DirectoryVersion: d.Version,
				DirectoryWhole: d.Full, DirectoryWarm: true, Targets: d.Targets,
			}))
		}
		tab.Tick(now)
		syncs += targets + entries
	}
	runSecond()
	directoryBytes := entryBytes / entries
	agentBytes, entryBytes, syncs = 0, 0, 0
	b.ResetTimer()
	for range b.N {
		runSecond()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(syncs), "ns/sync")
	b.ReportMetric(float64(agentBytes)/float64(b.N*targets), "B/s/agent")
	b.ReportMetric(float64(entryBytes)/float64(b.N*entries), "B/s/entry")
	b.ReportMetric(float64(directoryBytes), "B/directory")
}

func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}
