package quorum_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/quorum"
)

// This example runs a group of one member whose state is the total length of all
// commands. A group of three lists all members in Peers, and serves Node.Exchange
// over DRPC.
func Example() {
	dir, err := os.MkdirTemp("", "quorum")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	sum := 0
	machine := quorum.Machine{
		Apply: func(_ uint64, _ time.Time, command []byte) []byte {
			sum += len(command)
			return fmt.Append(nil, sum)
		},
		Snapshot: func() ([]byte, error) { return fmt.Append(nil, sum), nil },
		Restore:  func(b []byte) error { _, err := fmt.Sscan(string(b), &sum); return err },
	}
	addr := netip.MustParseAddrPort("127.0.0.1:7001")
	pool := link.NewPool()
	defer pool.Close()
	node, err := quorum.Open(quorum.Settings{
		ID: "c1", Listen: addr, Peers: map[string]netip.AddrPort{"c1": addr}, DataDir: dir,
		ElectionTimeout: 100 * time.Millisecond, Heartbeat: 20 * time.Millisecond,
		SnapshotEntries: 1000, SnapshotBytes: 1 << 20,
	}, machine, pool)
	if err != nil {
		panic(err)
	}
	defer node.Close()
	for _, word := range []string{"oak", "veneer"} {
		out, err := propose(node, word)
		fmt.Println(string(out), err)
	}
	// Output:
	// 3 <nil>
	// 9 <nil>
}

// propose retries until the member leads. It retries only link.CodeNotLeader: after any
// other error the command may have been applied.
func propose(node *quorum.Node, word string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for {
		out, err := node.Propose(ctx, []byte(word))
		if err == nil || link.CodeOf(err) != link.CodeNotLeader || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return out, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}
