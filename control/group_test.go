package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

// instance is a control instance that a test can stop and restart.
type instance struct {
	settings Settings
	stop     context.CancelFunc
	done     chan error
}

func (i *instance) start() {
	ctx, stop := context.WithCancel(context.Background())
	i.stop, i.done = stop, make(chan error, 1)
	go func() { i.done <- Run(ctx, testProcess(), i.settings.Control) }()
}

func (i *instance) shutdown(t *testing.T) {
	t.Helper()
	if i.done == nil {
		return
	}
	i.stop()
	select {
	case err := <-i.done:
		assert.NilError(t, err)
	case <-time.After(testTimeout):
		t.Fatal("the instance did not stop in time")
	}
	i.done = nil
}

// startGroup starts a group of n instances and returns a client of its leader.
func startGroup(t *testing.T, n int) ([]*instance, *link.LeaderClient) {
	var peers []Peer
	var addrs []netip.AddrPort
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer ln.Close()
		addrs = append(addrs, ln.Addr().(*net.TCPAddr).AddrPort())
		peers = append(peers, Peer{ID: fmt.Sprint("c", i), Addr: addrs[i]})
		assert.NilError(t, ln.Close())
	}
	instances := make([]*instance, n)
	for i, p := range peers {
		s := Settings{}
		s.Defaults()
		s.Control.ID, s.Control.Listen, s.Control.Peers = p.ID, p.Addr, peers
		s.Control.DataDir = filepath.Join(t.TempDir(), p.ID)
		s.Control.ElectionTimeout, s.Control.Heartbeat = 400*time.Millisecond, 40*time.Millisecond
		instances[i] = &instance{settings: s}
		instances[i].start()
		t.Cleanup(func() { instances[i].shutdown(t) })
	}
	pool := link.NewPool()
	t.Cleanup(func() { _ = pool.Close() })
	return instances, link.NewLeaderClient(pool, addrs)
}

// callLeader calls the leader and returns its reply.
func callLeader[Q, R any](t *testing.T, l *link.LeaderClient, req Q,
	fn func(c wire.DRPCControlClient, ctx context.Context, req Q) (R, error),
) (out R) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	assert.NilError(t, l.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
		out, err = fn(c, ctx, req)
		return err
	}))
	return out
}

// Guards against state that is lost or reverted when the leader stops or all instances
// restart, and against a planned stop that fails.
func TestGroupStateSurvivesRestart(t *testing.T) {
	instances, l := startGroup(t, 3)
	status := func() *wire.StatusReply {
		return callLeader(t, l, &wire.StatusRequest{Protocol: link.Protocol}, wire.DRPCControlClient.Status)
	}
	first := callLeader(t, l, publishRequest(0, "m1"), wire.DRPCControlClient.Publish)
	assert.Equal(t, first.GetOutcome(), wire.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED)
	claim := &wire.ClaimRequest{
		Protocol: link.Protocol, Key: "k", Digest: make([]byte, 32), IssuedUnixMillis: time.Now().UnixMilli(), Attempt: []byte("a"),
	}
	assert.Equal(t, callLeader(t, l, claim, wire.DRPCControlClient.Claim).GetOutcome(), wire.ClaimOutcome_CLAIM_OUTCOME_GRANTED)

	before := status()
	for _, i := range instances {
		if i.settings.Control.ID == before.GetLeader() {
			i.shutdown(t)
		}
	}
	after := status()
	assert.Assert(t, after.GetLeader() != before.GetLeader())
	assert.Equal(t, after.GetConfigVersion(), uint64(1))
	resent := callLeader(t, l, publishRequest(0, "m1"), wire.DRPCControlClient.Publish)
	assert.Equal(t, resent.GetOutcome(), first.GetOutcome())
	claim.Attempt = []byte("b")
	assert.Equal(t, callLeader(t, l, claim, wire.DRPCControlClient.Claim).GetOutcome(), wire.ClaimOutcome_CLAIM_OUTCOME_RUNNING)

	callLeader(t, l, publishRequest(1, "m2"), wire.DRPCControlClient.Publish)
	for _, i := range instances {
		i.shutdown(t)
	}
	for _, i := range instances {
		i.start()
	}
	got := status()
	assert.Equal(t, got.GetConfigVersion(), uint64(2))
	assert.Equal(t, got.GetConfig().GetModels()[0].GetName(), "m2")
	assert.Equal(t, got.GetClaims(), uint64(1))
	assert.Equal(t, len(got.GetMembers()), 3)
	read := callLeader(t, l, &wire.SyncRequest{Protocol: link.Protocol, Role: wire.Role_ROLE_ENTRY, Name: "e1"},
		wire.DRPCControlClient.Sync)
	assert.Equal(t, read.GetConfig().GetVersion(), uint64(2))
}

// Guards against reporting only the first error in a settings file.
func TestSettingsFindings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.ini")
	text := "[process]\nname = c1\nzone = z\n[control]\nid = c1\nlisten = 127.0.0.1:1\n" +
		"peers = c1=127.0.0.1:2, c2=127.0.0.1:2\nheartbeat = 1s\nplanPeriod = 0s\n"
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	var findings *check.Error
	assert.Assert(t, errors.As(daemon.LoadSettings(path, &Settings{}), &findings))
	lines := make(map[string][]int)
	for _, f := range findings.Findings {
		lines[f.Field] = append(lines[f.Field], f.Line)
	}
	assert.DeepEqual(t, lines, map[string][]int{
		"control.dataDir":         {0},
		"control.electionTimeout": {0},
		"control.peers":           {7, 7, 7},
		"control.planPeriod":      {9},
	})
}
