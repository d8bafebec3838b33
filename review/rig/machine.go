package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// roles are the roles of the deploy file, with their commands and templates.
var roles = []role{
	{name: "control", args: []string{"control"}, template: "deploy/control.ini"},
	{name: "entry", args: []string{"entry"}, template: "deploy/entry.ini"},
}

type role struct {
	name, template string
	args           []string
}

// machine is one machine of the deployment.
type machine struct {
	rig        *rig
	name, ip   string
	zone       string
	number     int
	bootstrap  bool
	mu         sync.Mutex
	processes  map[string]*exec.Cmd
	exited     map[string]chan struct{}
	startCount int
}

func newMachine(r *rig, n int) *machine {
	return &machine{
		rig: r, name: fmt.Sprintf("front-%d", n), ip: r.ip(n), zone: fmt.Sprintf("zone-%c", 'a'+n-1), number: n,
		bootstrap: true, processes: make(map[string]*exec.Cmd), exited: make(map[string]chan struct{}),
	}
}

// settings returns the fields of the settings file of the platform, by their full names.
func (m *machine) settings(x role) map[string]string {
	p := m.rig.ports
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", m.rig.ip(i+1), p.control))
	}
	return map[string]string{
		"NodeName": m.name, "Role": x.name, "Ip": m.ip, "Zone": m.zone, "Region": "region-a",
		"PortRange.0": fmt.Sprint(p.peer), "Seeds": strings.Join(seeds, ","),
		"Bootstrap": fmt.Sprint(m.bootstrap), "DataDir": filepath.Join(m.rig.dir, m.name, "data"),
		"HeartbeatMs":     fmt.Sprint(heartbeatPeriod.Milliseconds()),
		"Listen.Front":    fmt.Sprintf("%s:%d", m.ip, p.front),
		"Listen.Ready":    fmt.Sprintf("%s:%d", m.ip, p.ready),
		"Listen.Control":  fmt.Sprintf("%s:%d", m.ip, p.control),
		"Limits.MemoryMb": "284", "FaultTolerance.Machines": "1", "FaultTolerance.Zones": "0", "FaultTolerance.Regions": "0",
		"Bounds.GraceS": "8", "Bounds.RetryBudgetRatio": "0.2", "Bounds.RetryBudgetSlack": "64", "Bounds.BudgetWindowS": "10",
		"Bounds.ConfigApplyMs": "2000", "Bounds.DrainMs": "2000", "Bounds.RequireFencing": "true", "Bounds.LeaseMs": "3000",
	}
}

var (
	section  = regexp.MustCompile(`(?s)\{\{([#^])([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)
	variable = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`)
)

// render fills in a template of the deploy file as the platform does, as far as the templates of
// this project need it.
func render(template string, fields map[string]string) string {
	out := section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		set := fields[parts[2]] != "" && fields[parts[2]] != "false"
		if set == (parts[1] == "#") {
			return parts[3]
		}
		return ""
	})
	return variable.ReplaceAllStringFunc(out, func(text string) string {
		return fields[variable.FindStringSubmatch(text)[1]]
	})
}

// startAll starts the processes of both roles.
func (m *machine) startAll() error {
	m.startCount++
	if err := os.MkdirAll(filepath.Join(m.rig.dir, m.name, "data"), 0o755); err != nil {
		return err
	}
	for _, x := range roles {
		if err := m.startProcess(x); err != nil {
			return err
		}
	}
	m.rig.logf("machine %s started (start %d)", m.name, m.startCount)
	return nil
}

func (m *machine) startProcess(x role) error {
	template, err := os.ReadFile(filepath.Join(m.rig.root, x.template))
	if err != nil {
		return err
	}
	path := filepath.Join(m.rig.dir, m.name, x.name+".ini")
	if err := os.WriteFile(path, []byte(render(string(template), m.settings(x))), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(m.rig.dir, m.name, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(m.rig.root, "target", "platform"), x.args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.rig.root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.rig.dir, "LANG=C", "BULRUSHPATH_NODE_FILE=" + path}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = out.Close()
	gone := make(chan struct{})
	m.mu.Lock()
	m.processes[x.name], m.exited[x.name] = cmd, gone
	m.mu.Unlock()
	m.rig.wg.Go(func() {
		_ = cmd.Wait()
		close(gone)
	})
	return nil
}

// signal sends a signal to all processes of the machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, cmd := range m.processes {
		_ = cmd.Process.Signal(s)
	}
}

// killAll kills the processes of the machine.
func (m *machine) killAll() { m.signal(syscall.SIGKILL) }

// terminate stops the machine as the platform does: SIGTERM, and SIGKILL at the end of the grace
// period.
func (m *machine) terminate() {
	m.rig.logf("machine %s gets SIGTERM", m.name)
	m.signal(syscall.SIGTERM)
	end := time.After(grace)
	m.mu.Lock()
	exited := []chan struct{}{m.exited["control"], m.exited["entry"]}
	m.mu.Unlock()
	for _, gone := range exited {
		select {
		case <-gone:
		case <-end:
			m.killAll()
			<-gone
		}
	}
	m.rig.logf("machine %s has ended", m.name)
}

// ready reports whether the machine answers the readiness check with 200.
func (m *machine) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(fmt.Sprintf("http://%s:%d/bulrushpath/readiness", m.ip, m.rig.ports.ready))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
