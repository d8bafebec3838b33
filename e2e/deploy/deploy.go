// Package deploy starts a complete deployment of real processes on loopback for a
// test, optionally with a separate proxy for each link between two processes.
package deploy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushpath.example/e2e/proc"
	"bulrushpath.example/e2e/proxy"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
	"bulrushpath.example/load/caller"
)

// AwaitTimeout is the timeout for expected conditions. It is far above the usual time, so
// that a test does not fail on a busy machine.
const AwaitTimeout = 30 * time.Second

const pollInterval = 50 * time.Millisecond

// EngineSpec configures one engine.
type EngineSpec struct {
	Team string
	// Zone is "zone1" to "zone3"; if empty, zones are assigned round robin.
	Zone string
	// Args are additional flags of bulrush-standin engine. They come last, and the last
	// occurrence of a flag wins.
	Args []string
}

// Spec configures a deployment.
type Spec struct {
	// Config is the content of the operators' file.
	Config string
	// Controls and Entries default to 3 and 2.
	Controls, Entries int
	Engines           []EngineSpec
	// Plains is the number of instances of the service "ledger" of team PlainTeam.
	Plains    int
	PlainTeam string
	// Links puts a proxy on each link between two processes. Without it they connect
	// directly, so that a dead process refuses connections; a proxy would accept them.
	Links bool
	// PlainArgs are additional flags of bulrush-standin plain.
	PlainArgs []string
	// Agent holds additional lines for the [agent] section of the agents' settings.
	Agent string
	// Entry holds additional lines for the [entry] section of the entry instances'
	// settings.
	Entry string
}

// Node is one process of a deployment.
type Node struct {
	*proc.Process
	// Name is the process name in the settings, or for an agent the name of its target.
	Name string
	Addr netip.AddrPort
}

// Target is an engine or plain service with its agent and the links to both.
type Target struct {
	Node
	Agent Node
	// FromEntry carries requests from the entry instances to the agent; nil without
	// Spec.Links.
	FromEntry *proxy.Link
	// FromAgent carries requests and commands from the agent to the target; nil
	// without Spec.Links.
	FromAgent *proxy.Link
	// Journal is the path of a plain service's journal.
	Journal string
}

// ControlNode is a control instance; its links are nil without Spec.Links.
type ControlNode struct {
	Node
	// In carries all connections to this instance from entry instances, agents,
	// operators and other control instances. To carries its connections to each other
	// control instance, which lead through that instance's In.
	In  *proxy.Link
	To  map[int]*proxy.Link
	dir string
}

// Deployment is a running deployment.
type Deployment struct {
	Spec     Spec
	Store    Node
	Controls []*ControlNode
	Entries  []Node
	Engines  []*Target
	Plains   []*Target
	// Client balances requests over the entry instances.
	Client *caller.Client

	t    testing.TB
	dir  string
	pool *link.Pool
	// configFiles counts the configuration files that were written.
	configFiles int
}

var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "bulrush-e2e-")
	if err != nil {
		return "", err
	}
	return dir, proc.Build(dir)
})

// RemovePrograms deletes the built programs. TestMain calls it at the end.
func RemovePrograms() {
	if dir, err := buildPrograms(); err == nil {
		_ = os.RemoveAll(dir)
	}
}

// ProgramPath returns the path of a program. The first call builds all programs.
func ProgramPath(t testing.TB, name string) string {
	t.Helper()
	dir, err := buildPrograms()
	if err != nil {
		t.Fatalf("build programs: %v", err)
	}
	return filepath.Join(dir, name)
}

var (
	portMu sync.Mutex
	// nextPort cycles through a range below the ephemeral ports, so that no outgoing
	// connection takes the port of a process that is briefly down.
	nextPort = 20000 + rand.IntN(10000)
)

// FreeAddr returns a loopback address with an unused port.
func FreeAddr(t testing.TB) netip.AddrPort {
	t.Helper()
	portMu.Lock()
	defer portMu.Unlock()
	for range 5000 {
		nextPort++
		if nextPort > 32000 {
			nextPort = 20000
		}
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(nextPort))
		ln, err := net.Listen("tcp", addr.String())
		if err == nil {
			_ = ln.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

// Start starts a deployment, publishes its configuration and waits until all entry
// instances and targets are ready and all models are resident.
func Start(t testing.TB, spec Spec) *Deployment {
	t.Helper()
	start := time.Now()
	d := Launch(t, spec)
	launched := time.Since(start)
	d.Publish(spec.Config)
	published := time.Since(start)
	d.AwaitReady()
	t.Logf("control group up after %s, configuration published after %s, all ready after %s", launched.Round(time.Millisecond),
		published.Round(time.Millisecond), time.Since(start).Round(time.Millisecond))
	return d
}

// Launch starts the processes of a deployment and waits for the control group,
// without publishing a configuration.
func Launch(t testing.TB, spec Spec) *Deployment {
	t.Helper()
	if spec.Controls == 0 {
		spec.Controls = 3
	}
	if spec.Entries == 0 {
		spec.Entries = 2
	}
	d := &Deployment{Spec: spec, t: t, dir: workDir(t), pool: link.NewPool()}
	t.Cleanup(func() { _ = d.pool.Close() })
	t.Cleanup(d.logTails)
	d.startStore()
	d.startControls()
	for i, e := range spec.Engines {
		d.startEngine(i, e)
	}
	for i := range spec.Plains {
		d.startPlain(i)
	}
	for i := range spec.Entries {
		d.startEntry(i)
	}
	var addrs []netip.AddrPort
	for _, n := range d.Entries {
		addrs = append(addrs, n.Addr)
	}
	d.Await("a control leader", func() bool { return d.Status() != nil })
	d.Client = caller.NewClient(addrs)
	t.Cleanup(d.Client.Close)
	return d
}

// workDir returns the directory for settings, logs and data. If BULRUSH_E2E_DIR is
// set, it is created there and kept after the test.
func workDir(t testing.TB) string {
	t.Helper()
	keep := os.Getenv("BULRUSH_E2E_DIR")
	if keep == "" {
		return t.TempDir()
	}
	dir, err := os.MkdirTemp(keep, t.Name()+"-")
	if err != nil {
		t.Fatalf("create directory: %v", err)
	}
	return dir
}

// logTails logs the last lines of each process log if the test failed.
func (d *Deployment) logTails() {
	if !d.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(d.dir, "*.log"))
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		lines = lines[max(0, len(lines)-15):]
		d.t.Logf("end of %s:\n%s", filepath.Base(path), strings.Join(lines, "\n"))
	}
}

func zone(i int) string { return fmt.Sprintf("zone%d", i%3+1) }

func (d *Deployment) startProcess(name, program string, args ...string) *proc.Process {
	d.t.Helper()
	return proc.Start(d.t, name, filepath.Join(d.dir, name+".log"), ProgramPath(d.t, program), args...)
}

// writeSettings writes a settings file into the deployment's directory and returns its path.
func (d *Deployment) writeSettings(name string, lines ...string) string {
	d.t.Helper()
	path := filepath.Join(d.dir, name)
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		d.t.Fatalf("write settings: %v", err)
	}
	return path
}

func (d *Deployment) startLink(to netip.AddrPort) *proxy.Link {
	d.t.Helper()
	l, err := proxy.New(FreeAddr(d.t), to)
	if err != nil {
		d.t.Fatalf("start proxy: %v", err)
	}
	d.t.Cleanup(l.Close)
	return l
}

func (d *Deployment) startStore() {
	addr := FreeAddr(d.t)
	d.Store = Node{Name: "store", Addr: addr, Process: d.startProcess("store", "bulrush-standin", "weights",
		"--listen", addr.String(), "--rate", "40", "--burst", "8", "--at-once", "8", "--load-time", "100ms")}
}

func (d *Deployment) startControls() {
	for i := range d.Spec.Controls {
		c := &ControlNode{To: make(map[int]*proxy.Link)}
		c.Name, c.Addr = fmt.Sprintf("c%d", i+1), FreeAddr(d.t)
		if d.Spec.Links {
			c.In = d.startLink(c.Addr)
		}
		c.dir = filepath.Join(d.dir, "data-"+c.Name)
		d.Controls = append(d.Controls, c)
	}
	for i, c := range d.Controls {
		var peers []string
		for j, other := range d.Controls {
			// An instance redirects clients to the leader's address in its own peer list.
			// That link leads through the leader's In, so that Isolate cuts it as well.
			addr := other.Addr
			if i != j && d.Spec.Links {
				c.To[j] = d.startLink(other.In.Addr())
				addr = c.To[j].Addr()
			}
			peers = append(peers, other.Name+"="+addr.String())
		}
		if err := os.MkdirAll(c.dir, 0o755); err != nil {
			d.t.Fatalf("create data directory: %v", err)
		}
		path := d.writeSettings(c.Name+".ini",
			"[process]", "name = "+c.Name, "zone = "+zone(i),
			"[control]", "id = "+c.Name, "listen = "+c.Addr.String(),
			"peers = "+strings.Join(peers, ","), "dataDir = "+c.dir)
		c.Process = d.startProcess(c.Name, "bulrush-control", path)
	}
}

// controlList returns the client addresses of the control instances as a comma-separated
// list for settings and flags.
func (d *Deployment) controlList() string {
	var list []string
	for _, a := range d.ControlAddrs() {
		list = append(list, a.String())
	}
	return strings.Join(list, ",")
}

// ControlAddrs returns the client addresses of the control instances, through their
// proxies if there are any.
func (d *Deployment) ControlAddrs() []netip.AddrPort {
	var list []netip.AddrPort
	for _, c := range d.Controls {
		if c.In != nil {
			list = append(list, c.In.Addr())
		} else {
			list = append(list, c.Addr)
		}
	}
	return list
}

func (d *Deployment) startEngine(i int, e EngineSpec) {
	tg := &Target{}
	tg.Name, tg.Addr = fmt.Sprintf("e%d", i+1), FreeAddr(d.t)
	if e.Zone == "" {
		e.Zone = zone(i)
	}
	args := append([]string{
		"engine", "--listen", tg.Addr.String(), "--store", d.Store.Addr.String(),
		"--memory", "16GiB", "--token-time", "5ms", "--no-strict", "--leave-time", "1s",
	}, e.Args...)
	tg.Process = d.startProcess(tg.Name, "bulrush-standin", args...)
	d.startAgent(tg, e.Zone, e.Team, "kind = engine")
	d.Engines = append(d.Engines, tg)
}

func (d *Deployment) startPlain(i int) {
	tg := &Target{}
	tg.Name, tg.Addr = fmt.Sprintf("p%d", i+1), FreeAddr(d.t)
	tg.Journal = filepath.Join(d.dir, tg.Name+".journal")
	args := append([]string{
		"plain", "--listen", tg.Addr.String(), "--journal", tg.Journal, "--leave-time", "1s",
	}, d.Spec.PlainArgs...)
	tg.Process = d.startProcess(tg.Name, "bulrush-standin", args...)
	d.startAgent(tg, zone(i), d.Spec.PlainTeam, "kind = plain", "service = ledger")
	d.Plains = append(d.Plains, tg)
}

func (d *Deployment) startAgent(tg *Target, zone, team string, lines ...string) {
	tg.Agent.Name, tg.Agent.Addr = tg.Name, FreeAddr(d.t)
	advertise, url := tg.Agent.Addr, tg.Addr
	if d.Spec.Links {
		tg.FromEntry, tg.FromAgent = d.startLink(tg.Agent.Addr), d.startLink(tg.Addr)
		advertise, url = tg.FromEntry.Addr(), tg.FromAgent.Addr()
	}
	name := "agent-" + tg.Name
	settings := append([]string{
		"[process]", "name = " + name, "zone = " + zone,
		"[agent]", "target = " + tg.Name, "team = " + team, "control = " + d.controlList(),
		"listen = " + tg.Agent.Addr.String(), "advertise = " + advertise.String(),
		"url = http://" + url.String(), d.Spec.Agent,
	}, lines...)
	tg.Agent.Process = d.startProcess(name, "bulrush-agent", d.writeSettings(name+".ini", settings...))
}

func (d *Deployment) startEntry(i int) {
	n := Node{Name: fmt.Sprintf("n%d", i+1), Addr: FreeAddr(d.t)}
	path := d.writeSettings(n.Name+".ini",
		"[process]", "name = "+n.Name, "zone = "+zone(i),
		"[entry]", "listen = "+n.Addr.String(), "control = "+d.controlList(), d.Spec.Entry)
	n.Process = d.startProcess(n.Name, "bulrush-entry", path)
	d.Entries = append(d.Entries, n)
}

// Await polls until ok returns true, and fails the test if it does not within AwaitTimeout.
func (d *Deployment) Await(what string, ok func() bool) {
	d.t.Helper()
	end := time.Now().Add(AwaitTimeout)
	for !ok() {
		if time.Now().After(end) {
			d.t.Fatalf("%s: timed out after %s", what, AwaitTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// Status returns the status from the control leader, or nil if it cannot be reached.
func (d *Deployment) Status() *wire.StatusReply {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var reply *wire.StatusReply
	err := link.NewLeaderClient(d.pool, d.ControlAddrs()).Call(ctx,
		func(ctx context.Context, c wire.DRPCControlClient) (err error) {
			reply, err = c.Status(ctx, &wire.StatusRequest{Protocol: link.Protocol})
			return err
		})
	if err != nil {
		return nil
	}
	return reply
}

// AwaitLeader waits until an instance not in except is the control leader, and returns
// its index.
func (d *Deployment) AwaitLeader(except ...int) int {
	d.t.Helper()
	leader := -1
	d.Await("a control leader", func() bool {
		st := d.Status()
		if st == nil {
			return false
		}
		for i, c := range d.Controls {
			if c.Name == st.Leader {
				leader = i
			}
		}
		for _, i := range except {
			if i == leader {
				return false
			}
		}
		return leader >= 0
	})
	return leader
}

// Isolate partitions a control instance silently from all other processes.
func (d *Deployment) Isolate(i int) {
	d.Controls[i].In.Blackhole()
	for _, l := range d.Controls[i].To {
		l.Blackhole()
	}
}

// Rejoin ends the partition of Isolate.
func (d *Deployment) Rejoin(i int) {
	d.Controls[i].In.Heal()
	for _, l := range d.Controls[i].To {
		l.Heal()
	}
}

// RestartControl restarts a control instance that has exited, with its data directory
// or with an empty one.
func (d *Deployment) RestartControl(i int, keepDisk bool) {
	d.t.Helper()
	c := d.Controls[i]
	if !keepDisk {
		if err := os.RemoveAll(c.dir); err != nil {
			d.t.Fatalf("remove data directory: %v", err)
		}
		if err := os.MkdirAll(c.dir, 0o755); err != nil {
			d.t.Fatalf("create data directory: %v", err)
		}
	}
	c.Restart(d.t)
}
