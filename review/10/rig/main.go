// Command seeds starts a small deployment of the platform program and exchanges its seeds for
// instances without disks, which then lose power together. After that, one instance with a disk is
// replaced, and later another one loses its disk. It checks whether the configuration that was
// acknowledged last can be read back.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	zones = 3
	// lossTime is how long a machine without power stays down, and wipeTime the same for one that
	// loses its disk; both are those of the day of this case.
	lossTime, wipeTime = 2 * time.Second, 3 * time.Second
	// catchUp, recover and stable are the bounds CatchUpS, RecoverS and StableWindowMs; replaceTime
	// is the time until a replacement comes.
	catchUp, recovery, stable = 4 * time.Second, 12 * time.Second, 3 * time.Second
	replaceTime               = 2 * time.Second
	// answerTimeout is how long the operator waits for an answer, and postTime how long it sends a
	// configuration again until the case counts as one that could not run.
	answerTimeout, postTime = time.Second, 12 * time.Second
)

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

// machine runs one control and one entry process.
type machine struct {
	name, zone, ip string
	disk           bool
	// dataDir is empty without a disk; wipes counts the disks that the machine has had before.
	dataDir string
	wipes   int
	procs   []*process
}

// process is one running process.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// world is the stand-in of the platform and of the operator.
type world struct {
	dir      string
	record   io.Writer
	begin    time.Time
	ports    map[string]int
	machines []*machine
	seeds    []*machine
	first    bool
	client   http.Client
}

func (w *world) logf(format string, args ...any) {
	line := fmt.Sprintf("%7.3f s  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(w.record, line)
	fmt.Print(line)
}

func main() { os.Exit(run(os.Getenv("TROUBLE") != "0")) }

func run(trouble bool) int {
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "seeds")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer os.RemoveAll(dir)
	w := &world{dir: dir, record: record, begin: time.Now(), first: true}
	w.client = http.Client{Timeout: answerTimeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer w.stopAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := w.play(trouble)
		ended <- outcome{broken, err}
	}()
	var broken bool
	select {
	case x := <-ended:
		broken, err = x.broken, x.err
	case <-signals:
		return 2
	}
	switch {
	case err != nil:
		w.logf("%v", err)
		return 2
	case broken:
		w.logf("BROKEN: CONFIG: the configuration that was acknowledged last does not come")
		return 1
	}
	w.logf("held")
	return 0
}

// play runs the case and reports whether the rule was broken.
func (w *world) play(trouble bool) (broken bool, err error) {
	if err := w.addMachines(); err != nil {
		return false, err
	}
	for _, m := range w.machines {
		if err := w.start(m); err != nil {
			return false, err
		}
	}
	if !w.post(1, postTime) {
		return false, fmt.Errorf("%w: no configuration", errSetup)
	}
	w.first = false
	time.Sleep(stable)
	// The seeds are exchanged for the machines that serve control and have no disk.
	w.seeds = nil
	for _, m := range w.machines {
		if !m.disk {
			w.seeds = append(w.seeds, m)
		}
	}
	w.logf("seed_turnover: %v", names(w.seeds))
	if err := w.writeAll(); err != nil {
		return false, err
	}
	time.Sleep(stable)
	if trouble {
		w.logf("herd_kill: %v for %v", names(w.seeds), lossTime)
		for _, m := range w.seeds {
			w.kill(m)
		}
		time.Sleep(lossTime)
		for _, m := range w.seeds {
			if err := w.start(m); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(catchUp)
	if !w.post(2, postTime) {
		return false, fmt.Errorf("%w: version 2 was not acknowledged", errSetup)
	}
	if trouble {
		if err := w.replaceOne(); err != nil {
			return false, err
		}
	}
	time.Sleep(catchUp + stable)
	if !w.post(3, postTime) {
		return false, fmt.Errorf("%w: version 3 was not acknowledged", errSetup)
	}
	if trouble {
		m := w.leader()
		if m == nil {
			return false, fmt.Errorf("%w: no leader", errSetup)
		}
		w.logf("after_ack_wipe: %s loses its disk, for %v", m.name, wipeTime)
		w.kill(m)
		m.wipes++
		time.Sleep(wipeTime)
		if err := w.start(m); err != nil {
			return false, err
		}
	}
	time.Sleep(recovery)
	w.logReadiness()
	return !w.readBack(3, 2*stable), nil
}

// replaceOne ends a machine with a disk that does not lead for good, and adds another one.
func (w *world) replaceOne() error {
	lead := w.leader()
	if lead == nil {
		return fmt.Errorf("%w: no leader", errSetup)
	}
	var old *machine
	for _, m := range w.machines {
		if m.disk && m != lead {
			old = m
		}
	}
	w.logf("replace_core: %s is gone for good", old.name)
	w.kill(old)
	kept := w.machines[:0]
	for _, m := range w.machines {
		if m != old {
			kept = append(kept, m)
		}
	}
	w.machines = kept
	time.Sleep(replaceTime)
	at := strings.LastIndex(old.ip, ".")
	m := &machine{name: old.name + "-new", zone: old.zone, ip: old.ip[:at] + ".9", disk: true}
	w.logf("replace_core: %s comes at %s with an empty disk", m.name, m.ip)
	w.machines = append(w.machines, m)
	return w.start(m)
}

// addMachines sets the addresses and ports; two machines in each zone, the first with a disk.
func (w *world) addMachines() error {
	net := 16 + os.Getpid()%200
	for z := range zones {
		for n := range 2 {
			m := &machine{name: fmt.Sprintf("front-z%d-%d", z+1, n+1), zone: fmt.Sprintf("z%d", z+1), disk: n == 0, ip: fmt.Sprintf("127.%d.%d.%d", net, z+1, n+1)}
			w.machines = append(w.machines, m)
			if m.disk {
				w.seeds = append(w.seeds, m)
			}
		}
	}
	for base := 20000 + os.Getpid()%5000; base < 40000; base += 100 {
		w.ports = map[string]int{"Front": base, "Ready": base + 1, "Control": base + 2, "PortRange": base + 10}
		if w.portsFree() {
			return nil
		}
	}
	return fmt.Errorf("%w: no free ports", errSetup)
}

func (w *world) portsFree() bool {
	for _, m := range w.machines {
		for _, p := range w.ports {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, p))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func names(list []*machine) (out []string) {
	for _, m := range list {
		out = append(out, m.name)
	}
	return out
}

func (w *world) addr(m *machine, port string) string {
	return fmt.Sprintf("%s:%d", m.ip, w.ports[port])
}

// fields returns the settings of a process of the machine, under the names of the platform's page.
func (w *world) fields(m *machine) map[string]string {
	f := map[string]string{
		"NodeName": m.name, "Zone": m.zone, "Region": "r1", "Ip": m.ip, "Bootstrap": fmt.Sprint(w.first), "DataDir": m.dataDir,
		"HeartbeatMs": "1200", "PortRange.0": fmt.Sprint(w.ports["PortRange"]),
		"Listen.Front": w.addr(m, "Front"), "Listen.Ready": w.addr(m, "Ready"), "Listen.Control": w.addr(m, "Control"),
		"Limits.MemoryMb": "284", "Limits.MaxFds": "4100",
		"FaultTolerance.Machines": "1", "FaultTolerance.Zones": "0", "FaultTolerance.Regions": "0",
		"Bounds.GraceS": "8", "Bounds.DrainMs": "2000", "Bounds.ConfigApplyMs": "2000", "Bounds.LeaseMs": "3000", "Bounds.RequireFencing": "true",
		"Bounds.RetryBudgetRatio": "0.2", "Bounds.RetryBudgetSlack": "64", "Bounds.BudgetWindowS": "10",
	}
	if m.disk {
		f["Limits.DiskMb"] = "64"
	}
	var seeds []string
	for _, s := range w.seeds {
		seeds = append(seeds, w.addr(s, "Control"))
	}
	f["Seeds"] = strings.Join(seeds, ",")
	return f
}

// render fills in a template of the deploy folder.
func render(text string, fields map[string]string) string {
	var out strings.Builder
	for {
		begin := strings.Index(text, "{{")
		if begin < 0 {
			out.WriteString(text)
			return out.String()
		}
		end := begin + strings.Index(text[begin:], "}}")
		out.WriteString(text[:begin])
		name := text[begin+2 : end]
		text = text[end+2:]
		switch name[0] {
		case '#', '^':
			closing := "{{/" + name[1:] + "}}"
			at := strings.Index(text, closing)
			if (fields[name[1:]] != "") == (name[0] == '#') {
				out.WriteString(render(text[:at], fields))
			}
			text = text[at+len(closing):]
		default:
			out.WriteString(fields[name])
		}
	}
}

func (w *world) file(m *machine, role string) string {
	return filepath.Join(w.dir, m.name+"-"+role+".ini")
}

// write writes the settings files of a machine.
func (w *world) write(m *machine) error {
	for _, role := range []string{"control", "entry"} {
		text, err := os.ReadFile(filepath.Join("deploy", role+".ini"))
		if err != nil {
			return err
		}
		tmp := w.file(m, role) + ".tmp"
		if err := os.WriteFile(tmp, []byte(render(string(text), w.fields(m))), 0o644); err != nil {
			return err
		}
		if err := os.Rename(tmp, w.file(m, role)); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) writeAll() error {
	for _, m := range w.machines {
		if err := w.write(m); err != nil {
			return err
		}
	}
	return nil
}

// start starts the processes of a machine with the settings in effect.
func (w *world) start(m *machine) error {
	if m.disk {
		m.dataDir = filepath.Join(w.dir, fmt.Sprintf("data-%s-%d", m.name, m.wipes))
		if err := os.MkdirAll(m.dataDir, 0o755); err != nil {
			return err
		}
	}
	if err := w.write(m); err != nil {
		return err
	}
	for _, role := range []string{"control", "entry"} {
		logs, err := os.OpenFile(filepath.Join(w.dir, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		cmd := exec.Command("target/platform", role)
		cmd.Env = append(os.Environ(), "BULRUSHPATH_NODE_FILE="+w.file(m, role))
		cmd.Stdout, cmd.Stderr = logs, logs
		err = cmd.Start()
		_ = logs.Close()
		if err != nil {
			return fmt.Errorf("%w: %w", errSetup, err)
		}
		p := &process{cmd: cmd, done: make(chan struct{})}
		go func() { _ = cmd.Wait(); close(p.done) }()
		m.procs = append(m.procs, p)
	}
	w.logf("started %s", m.name)
	return nil
}

// kill ends the processes of a machine at once.
func (w *world) kill(m *machine) {
	for _, p := range m.procs {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range m.procs {
		<-p.done
	}
	m.procs = nil
}

func (w *world) stopAll() {
	for _, m := range w.machines {
		w.kill(m)
	}
}

// config returns a configuration; only its version changes, and the route that shows it.
func config(version int) string {
	c := map[string]any{
		"Version": version,
		"Routes": []map[string]any{{
			"Name": "r-1", "Host": "one.example", "PathPrefix": fmt.Sprintf("/v%d/", version), "Kind": "safe", "TimeoutMs": 2500,
			"TargetLatencyMs": 150, "Priority": 1, "Service": "plain", "MaxAttempts": 2,
		}},
		"Services": []map[string]any{{"Name": "plain", "HealthPath": "/health", "MaxConnections": 130, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	out, _ := json.Marshal(c)
	return string(out)
}

// call sends a call of the operator to a machine and follows two redirects. It returns the machine
// that has answered.
func (w *world) call(m *machine, method, path, body string) (status int, answer string, by *machine) {
	url := "http://" + w.addr(m, "Control") + path
	for range 3 {
		req, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			return 0, err.Error(), nil
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := w.client.Do(req)
		if err != nil {
			return 0, "no answer", nil
		}
		text, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if res.StatusCode != http.StatusTemporaryRedirect {
			for _, x := range w.machines {
				if strings.Contains(url, w.addr(x, "Control")) {
					by = x
				}
			}
			return res.StatusCode, strings.TrimSpace(string(text)), by
		}
		url = res.Header.Get("Location")
	}
	return 0, "too many redirects", nil
}

// post sends a configuration to one machine after the other until it is acknowledged.
func (w *world) post(version int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, m := range w.machines {
			status, text, by := w.call(m, http.MethodPost, "/bulrushpath/Config.Replace", config(version))
			if status == http.StatusOK {
				w.logf("version %d is acknowledged by %s", version, by.name)
				return true
			}
			if time.Now().After(end) {
				w.logf("version %d sent to %s: %d %s", version, m.name, status, text)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// leader returns the machine that answers a read of the configuration.
func (w *world) leader() *machine {
	for _, m := range w.machines {
		if status, _, by := w.call(m, http.MethodGet, "/bulrushpath/Config.Read", ""); status == http.StatusOK {
			return by
		}
	}
	return nil
}

// readBack reads the configuration from all machines in turn until the limit, and reports whether
// the given version came.
func (w *world) readBack(version int, limit time.Duration) bool {
	last := map[string]string{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range w.machines {
			status, text, _ := w.call(m, http.MethodGet, "/bulrushpath/Config.Read", "")
			var c struct{ Version int }
			if status == http.StatusOK && json.Unmarshal([]byte(text), &c) == nil && c.Version == version {
				w.logf("%s: version %d is read back", m.name, version)
				return true
			}
			last[m.name] = fmt.Sprintf("%d %.60s", status, text)
		}
	}
	for name, text := range last {
		w.logf("%s: read of the configuration: %s", name, text)
	}
	return false
}

// logReadiness writes which entry instances say that they are ready.
func (w *world) logReadiness() {
	for _, m := range w.machines {
		res, err := w.client.Get("http://" + w.addr(m, "Ready") + "/bulrushpath/readiness")
		if err != nil {
			w.logf("%s: readiness: no answer", m.name)
			continue
		}
		text, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		w.logf("%s: readiness: %d %s", m.name, res.StatusCode, strings.TrimSpace(string(text)))
	}
}
