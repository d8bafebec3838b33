package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	heartbeatPeriod = 1200 * time.Millisecond
	// stableWindow is the longest StableWindowMs of the deployments that the cases name.
	stableWindow = 4 * time.Second
)

// world is one run of the system: its processes, their addresses and the record.
type world struct {
	root, dir string
	trouble   bool
	nodes     []*node
	port      int
	second    byte
	third     byte
	started   time.Time

	mu     sync.Mutex
	record bytes.Buffer
	// overloads counts the orders to load more than a replica holds.
	overloads atomic.Int64
	// replicaCount numbers the addresses of replicas.
	replicaCount int
}

// node is one machine of the system.
type node struct {
	name, zone, ip string
	disk           bool
	procs          []*exec.Cmd
}

func newWorld(root string) (*world, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	for range 100 {
		w.second, w.third = byte(10+rand.IntN(200)), byte(1+rand.IntN(250))
		w.port = 20000 + rand.IntN(10000)
		if w.portsFree() {
			return w, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (w *world) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", w.second, w.third, n) }

// portsFree reports whether the ports of the machines are free.
func (w *world) portsFree() bool {
	for n := 1; n <= 5; n++ {
		for _, p := range []int{w.port, w.port + 1, w.port + 2, w.port + 3, 19381, 19382} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.ip(n), p))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func (w *world) frontPort() int   { return w.port }
func (w *world) readyPort() int   { return w.port + 1 }
func (w *world) controlPort() int { return w.port + 2 }
func (w *world) peerPort() int    { return w.port + 3 }

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(&w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// controlAddrs are the addresses at which the machines with a disk serve the operator and replicas.
func (w *world) controlAddrs() (out []string) {
	for _, n := range w.nodes {
		if n.disk {
			out = append(out, fmt.Sprintf("%s:%d", n.ip, w.controlPort()))
		}
	}
	return out
}

// frontAddrs are the addresses at which the machines serve clients.
func (w *world) frontAddrs() (out []string) {
	for _, n := range w.nodes {
		out = append(out, fmt.Sprintf("%s:%d", n.ip, w.frontPort()))
	}
	return out
}

// startSystem starts three machines with a disk, in three zones, with both roles of the deploy file.
func (w *world) startSystem(extra map[string]any) error {
	for i, zone := range []string{"z-a", "z-b", "z-c"} {
		w.nodes = append(w.nodes, &node{name: "front-" + zone + "-1", zone: zone, ip: w.ip(i + 1), disk: true})
	}
	for _, n := range w.nodes {
		for _, role := range []string{"control", "entry"} {
			if err := w.startProcess(n, role, extra); err != nil {
				return err
			}
		}
	}
	return nil
}

// startProcess starts a role with the command of the deploy file.
func (w *world) startProcess(n *node, role string, bounds map[string]any) error {
	template, err := os.ReadFile(filepath.Join(w.root, "deploy", role+".ini"))
	if err != nil {
		return err
	}
	dir := filepath.Join(w.dir, n.name, role)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	settings := filepath.Join(dir, "settings.ini")
	if err := os.WriteFile(settings, []byte(render(string(template), w.settings(n, dir, bounds))), 0o600); err != nil {
		return err
	}
	logFile, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(filepath.Join(w.root, "target", "platform"), role)
	cmd.Dir = w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "BULRUSHPATH_NODE_FILE=" + settings}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.procs = append(n.procs, cmd)
	return nil
}

// settings returns the fields of a settings file.
func (w *world) settings(n *node, dir string, extra map[string]any) map[string]any {
	bounds := map[string]any{
		"DrainMs": 2000, "GraceS": 8, "ConfigApplyMs": 2000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
		"RetryBudgetSlack": 64, "RequireFencing": true, "LeaseMs": 3000,
	}
	for k, v := range extra {
		bounds[k] = v
	}
	var seeds []any
	for _, x := range w.nodes {
		seeds = append(seeds, fmt.Sprintf("%s:%d", x.ip, w.controlPort()))
	}
	return map[string]any{
		"NodeName": n.name, "Zone": n.zone, "Region": "region", "Ip": n.ip, "Seeds": seeds, "Bootstrap": true,
		"PortRange": []any{w.peerPort(), w.peerPort()}, "DataDir": filepath.Join(dir, "data"), "HeartbeatMs": heartbeatPeriod.Milliseconds(),
		"Listen": map[string]any{
			"Front": fmt.Sprintf("%s:%d", n.ip, w.frontPort()), "Ready": fmt.Sprintf("%s:%d", n.ip, w.readyPort()),
			"Control": fmt.Sprintf("%s:%d", n.ip, w.controlPort()),
		},
		"Limits":         map[string]any{"MemoryMb": 284, "MaxFds": 4100, "DiskMb": 64},
		"FaultTolerance": map[string]any{"Machines": 1, "Zones": 0, "Regions": 0},
		"Bounds":         bounds,
	}
}

// stop ends all processes of the system and removes the folder.
func (w *world) stop() {
	for _, n := range w.nodes {
		for _, p := range n.procs {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// exits returns the processes that have ended by themselves.
func (w *world) exits() (out []string) {
	for _, n := range w.nodes {
		for _, p := range n.procs {
			if p.Process.Signal(syscall.Signal(0)) != nil {
				out = append(out, n.name)
			}
		}
	}
	return out
}

// sendConfig sends a configuration as the operator does, until it is acknowledged.
func (w *world) sendConfig(ctx context.Context, content []byte) error {
	addrs := w.controlAddrs()
	client := &http.Client{Timeout: time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		addr := addrs[i%len(addrs)]
		res, err := client.Post("http://"+addr+"/bulrushpath/Config.Replace", "application/json", bytes.NewReader(content))
		if err == nil {
			_ = res.Body.Close()
			switch {
			case res.StatusCode == http.StatusOK:
				w.logf("operator: configuration acknowledged by %s", addr)
				return nil
			case res.StatusCode == http.StatusBadRequest:
				return errors.New("configuration refused")
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ctx.Err()
}

// awaitReady waits until all machines say that they are ready.
func (w *world) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for _, n := range w.nodes {
		for {
			res, err := client.Get(fmt.Sprintf("http://%s:%d/bulrushpath/readiness", n.ip, w.readyPort()))
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.logf("platform: all machines are ready")
	return nil
}

// render fills in a template of the deploy file.
func render(text string, fields map[string]any) string {
	var out strings.Builder
	for {
		start := strings.Index(text, "{{")
		if start < 0 {
			out.WriteString(text)
			return out.String()
		}
		out.WriteString(text[:start])
		end := strings.Index(text, "}}")
		name := text[start+2 : end]
		text = text[end+2:]
		if name[0] != '#' && name[0] != '^' {
			out.WriteString(formatValue(lookup(fields, name)))
			continue
		}
		closing := "{{/" + name[1:] + "}}"
		at := strings.Index(text, closing)
		v := lookup(fields, name[1:])
		present := v != nil && v != false
		if present == (name[0] == '#') {
			out.WriteString(render(text[:at], fields))
		}
		text = text[at+len(closing):]
	}
}

func lookup(v any, path string) any {
	for part := range strings.SplitSeq(path, ".") {
		switch x := v.(type) {
		case map[string]any:
			v = x[part]
		case []any:
			v = x[int(part[0]-'0')]
		default:
			return nil
		}
	}
	return v
}

func formatValue(v any) string {
	switch x := v.(type) {
	case nil:
		return ""
	case []any:
		var parts []string
		for _, y := range x {
			parts = append(parts, fmt.Sprint(y))
		}
		return strings.Join(parts, ",")
	}
	return fmt.Sprint(v)
}
