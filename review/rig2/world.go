package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are the values of the site's sheet that the checks use.
const (
	stableWindow  = 3 * time.Second
	heartbeatTime = 1200 * time.Millisecond
	zonePrefix    = "kigali-"
)

// world is a small deployment on loopback addresses.
type world struct {
	root, dir string
	roles     map[string]role
	record    *recorder
	machines  []*machine

	// mu guards closed, which is set once no process may be started any more.
	mu     sync.Mutex
	closed bool

	seeds []string
	// The ports are the same on all machines.
	portFront, portReady, portControl, portFirst int
}

// machine is one machine of the system.
type machine struct {
	w        *world
	name, ip string
	zone     string
	disk     bool

	mu    sync.Mutex
	procs map[string]*exec.Cmd
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *recorder) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// newWorld prepares n machines, the first disks of which have a disk, in three zones.
func newWorld(root string, out io.Writer, n, disks int) (*world, error) {
	roles, err := readRoles(root)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, roles: roles, record: &recorder{out: out, start: time.Now()}}
	subnet := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for i := range n {
		w.machines = append(w.machines, &machine{
			w: w, name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", subnet, 10+i),
			zone: zonePrefix + string(rune('a'+i%3)), disk: i < disks, procs: make(map[string]*exec.Cmd),
		})
	}
	first, err := freePorts(w.machines, 8)
	if err != nil {
		return nil, err
	}
	w.portFront, w.portReady, w.portControl, w.portFirst = first, first+1, first+2, first+3
	for _, m := range w.machines[:min(3, n)] {
		w.seeds = append(w.seeds, fmt.Sprintf("%s:%d", m.ip, w.portControl))
	}
	return w, nil
}

// freePorts returns the first of n consecutive ports that are free on all machines.
func freePorts(machines []*machine, n int) (int, error) {
	for range 100 {
		first := 21000 + rand.IntN(9000)
		free := true
		for _, m := range machines {
			for p := first; p < first+n && free; p++ {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, p))
				if err != nil {
					free = false
					break
				}
				_ = ln.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

// fields are the settings that the platform gives to a process, as on the site's sheet.
func (m *machine) fields(roleName string, bootstrap bool) map[string]any {
	w := m.w
	f := map[string]any{
		"NodeName": m.name, "Ip": m.ip, "Zone": m.zone, "Region": "kigali",
		"PortRange": []int{w.portFirst, w.portFirst + 4}, "Seeds": w.seeds, "Bootstrap": bootstrap,
		"HeartbeatMs": int(heartbeatTime.Milliseconds()),
		"Listen": map[string]any{
			"Front": fmt.Sprintf("%s:%d", m.ip, w.portFront), "Ready": fmt.Sprintf("%s:%d", m.ip, w.portReady),
			"Control": fmt.Sprintf("%s:%d", m.ip, w.portControl),
		},
		"Limits":         map[string]any{"MemoryMb": 284, "MaxFds": 4100},
		"FaultTolerance": map[string]any{"Machines": 1, "Zones": 0, "Regions": 0},
		"Bounds": map[string]any{
			"GraceS": 8, "RequireFencing": true, "LeaseMs": 3000, "RetryBudgetRatio": 0.2, "RetryBudgetSlack": 64,
			"BudgetWindowS": 10, "ConfigApplyMs": 2000, "DrainMs": 2000,
		},
		"DataDir": "",
	}
	if m.disk && roleName == "control" {
		f["DataDir"] = m.dataDir()
		f["Limits"].(map[string]any)["DiskMb"] = 64
	}
	return f
}

func (m *machine) dataDir() string { return filepath.Join(m.w.dir, m.name, "data") }

// start starts the process of a role with settings that are rendered now.
func (m *machine) start(roleName string, bootstrap bool) error {
	w := m.w
	r := w.roles[roleName]
	template, err := os.ReadFile(filepath.Join(w.root, r.template))
	if err != nil {
		return err
	}
	home := filepath.Join(w.dir, m.name)
	if err := os.MkdirAll(m.dataDir(), 0o700); err != nil {
		return err
	}
	file := filepath.Join(home, roleName+".settings")
	if err := os.WriteFile(file, []byte(render(string(template), m.fields(roleName, bootstrap))), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(home, roleName+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	cmd := exec.Command(filepath.Join(w.root, r.run[0]), r.run[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = w.root, logs, logs
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + home, "BULRUSHPATH_NODE_FILE=" + file}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.procs[roleName] = cmd
	m.mu.Unlock()
	w.record.addf("%s: %s started, Bootstrap = %v", m.name, strings.Join(r.run, " "), bootstrap)
	return nil
}

// kill kills the process of a role and waits until it is gone.
func (m *machine) kill(roleName string) {
	m.mu.Lock()
	cmd := m.procs[roleName]
	delete(m.procs, roleName)
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	m.w.record.addf("%s: %s killed", m.name, roleName)
}

// close ends all processes and removes the files. It keeps the last lines of the logs in the record.
func (w *world) close(logLines int) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for _, m := range w.machines {
		for _, name := range []string{"entry", "control"} {
			m.mu.Lock()
			cmd := m.procs[name]
			m.mu.Unlock()
			if cmd == nil {
				continue
			}
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	if logLines > 0 {
		for _, m := range w.machines {
			if !m.disk {
				continue
			}
			b, _ := os.ReadFile(filepath.Join(w.dir, m.name, "control.log"))
			lines := strings.Split(strings.TrimSpace(string(b)), "\n")
			for _, l := range lines[max(0, len(lines)-logLines):] {
				w.record.addf("log of %s: %s", m.name, strings.ReplaceAll(l, w.dir, "."))
			}
		}
	}
	_ = os.RemoveAll(w.dir)
}
