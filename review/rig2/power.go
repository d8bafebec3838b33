package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// longRoutes is the number of routes of the configurations: that of the site file after its
	// big_config, with 350 more routes, has come 11 times.
	longRoutes = 11 * 350
	// catchUp is CatchUpS, after which the next loss may come.
	catchUp = 4 * time.Second
	// powerTime bounds the search for the moments of the power losses.
	powerTime = 88 * time.Second
	// proofTime is the time for which a process goes on to show that it was removing files.
	proofTime = 5 * time.Millisecond
	// maxSteps bounds the steps in which the process goes on while its log is replaced.
	maxSteps = 1000
	// restartPause is the time after which the platform starts a process that has ended.
	restartPause = 500 * time.Millisecond
)

// shadow is what the platform knows of the disk of one machine: each file of the log, under a
// second name, so that it can come back if its removal is lost.
type shadow struct {
	m    *machine
	data string
	keep string
}

func newShadow(m *machine) (*shadow, error) {
	s := &shadow{m: m, data: m.dataDir(), keep: filepath.Join(m.w.dir, m.name, "removed")}
	return s, os.MkdirAll(s.keep, 0o700)
}

// logs returns the names of the log files, oldest first.
func (s *shadow) logs() []string {
	var out []string
	entries, _ := os.ReadDir(s.data)
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), ".log") {
			out = append(out, e.Name())
		}
	}
	slices.Sort(out)
	return out
}

// link gives all log files a second name.
func (s *shadow) link(names []string) {
	for _, n := range names {
		if err := os.Link(filepath.Join(s.data, n), filepath.Join(s.keep, n)); err != nil && !errors.Is(err, os.ErrExist) {
			s.m.w.record.addf("%s: %v", s.m.name, err)
		}
	}
}

// removedOf returns which of the names are not left.
func removedOf(names, left []string) (out []string) {
	for _, n := range names {
		if !slices.Contains(left, n) {
			out = append(out, n)
		}
	}
	return out
}

// snapshot returns the name of the newest snapshot.
func (s *shadow) snapshot() (newest string) {
	entries, _ := os.ReadDir(s.data)
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), ".snap") {
			newest = max(newest, e.Name())
		}
	}
	return newest
}

// pause stops the process and waits until it stands still.
func pause(p *os.Process) {
	_ = p.Signal(syscall.SIGSTOP)
	for range 200 {
		b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid))
		if i := bytes.LastIndexByte(b, ')'); i < 0 || i+2 < len(b) && b[i+2] != 'R' && b[i+2] != 'S' && b[i+2] != 'D' {
			return
		}
	}
}

// watch waits until the machine replaces its log by a snapshot, lets its process go on in small steps
// until two log files are removed, and then for proofTime to see whether it removes more: if so, the
// removal was in progress before. It returns the names of the files before, and those that were left when
// two were removed; the process is stopped then. Both are nil if there was no such moment until stop was set.
func (s *shadow) watch(stop *atomic.Bool) (names, left []string) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	s.m.mu.Lock()
	p := s.m.procs["control"].Process
	s.m.mu.Unlock()
	for last := s.snapshot(); !stop.Load(); {
		names = s.logs()
		s.link(names)
		now := last
		for i := 0; i < 200 && now == last; i++ {
			now = s.snapshot()
		}
		if now == last || len(names) < 4 {
			last = now
			continue
		}
		last = now
		for range maxSteps {
			pause(p)
			left = s.logs()
			if n := len(removedOf(names, left)); n >= 2 {
				_ = p.Signal(syscall.SIGCONT)
				time.Sleep(proofTime)
				pause(p)
				if len(removedOf(names, s.logs())) > n {
					return names, left
				}
				break // The folder may have been synced.
			}
			_ = p.Signal(syscall.SIGCONT)
		}
		_ = p.Signal(syscall.SIGCONT)
	}
	return nil, nil
}

// cut takes the power of the machine at the moment that watch has found, and lets its disk come back as the
// pages say of a power loss. It returns false if that failed.
//
// The store removes all files that a snapshot covers and syncs their folder afterwards. As more was removed
// later, the folder had not been synced at that moment, and each removal may be kept or lost by itself. The
// first one is lost, so that the file is there again, and the second one is kept. What was removed later is there.
func (s *shadow) cut(names, left []string) bool {
	s.m.kill("control")
	atCut, atEnd := removedOf(names, left), removedOf(names, s.logs())
	s.m.w.record.addf("%s: power lost; log files before: %v; removed at the power loss: %v; a moment later: %v",
		s.m.name, short(names), short(atCut), short(atEnd))
	if len(atEnd) <= len(atCut) {
		return false
	}
	for _, n := range atEnd {
		if n == atCut[1] {
			continue
		}
		if err := os.Link(filepath.Join(s.keep, n), filepath.Join(s.data, n)); err != nil {
			s.m.w.record.addf("%s: %v", s.m.name, err)
			return false
		}
	}
	s.m.w.record.addf("%s: disk after the power loss: removal of %v lost, removal of %v kept; log files: %v",
		s.m.name, short(atCut[:1]), short(atCut[1:2]), short(s.logs()))
	return true
}

// losePower lets one of the machines lose power while it removes log files. It returns nil if there was
// no such moment until stop was set.
func losePower(machines []*machine, stop *atomic.Bool) *machine {
	for !stop.Load() {
		var found atomic.Bool
		var victim *machine
		var struck bool
		var wg sync.WaitGroup
		for _, m := range machines {
			wg.Add(1)
			go func() {
				defer wg.Done()
				s, err := newShadow(m)
				if err != nil {
					return
				}
				var over atomic.Bool
				done := make(chan struct{})
				defer close(done)
				go func() {
					for {
						select {
						case <-done:
							return
						case <-time.After(time.Millisecond):
							if stop.Load() || found.Load() {
								over.Store(true)
								return
							}
						}
					}
				}()
				names, left := s.watch(&over)
				switch {
				case names == nil:
				case found.CompareAndSwap(false, true):
					victim, struck = m, s.cut(names, left)
				default:
					m.resume("control")
				}
			}()
		}
		wg.Wait()
		if victim == nil || struck {
			return victim
		}
		// The folder may have been synced: its disk is as it was.
		if err := victim.start("control", false); err != nil {
			return nil
		}
		time.Sleep(catchUp)
	}
	return nil
}

func short(names []string) []string {
	var out []string
	for _, n := range names {
		out = append(out, strings.TrimLeft(strings.TrimSuffix(n, ".log"), "0"))
	}
	return out
}

// longConfig is a configuration with many routes.
func longConfig(version int) []byte {
	var c map[string]any
	_ = json.Unmarshal(ledgerConfig(version), &c)
	routes := c["Routes"].([]any)
	for i := range longRoutes {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprintf("more-%d-%d", version, i), "Host": fmt.Sprintf("more%d.example", i%50), "PathPrefix": fmt.Sprintf("/more%d/part%d/", version, i),
			"Kind": "safe", "TimeoutMs": 2500, "TargetLatencyMs": 150, "Priority": 1, "Service": "ledger", "MaxAttempts": 2,
			"Sticky": false, "Resumable": false, "TargetGapMs": 250,
		})
	}
	c["Routes"] = routes
	b, _ := json.Marshal(c)
	return b
}

// powerLosses changes the configuration all the time. Two machines, one after the other, lose power
// while they replace their log by a snapshot, and are started again with the disks that they had.
func powerLosses(w *world, trouble bool) (broken bool, err error) {
	for _, m := range w.machines {
		if err := m.start("control", true); err != nil {
			return false, err
		}
	}
	begun := time.Now()
	var stop, changing atomic.Bool
	changing.Store(true)
	var acked atomic.Int64
	var wg sync.WaitGroup
	over := make(chan struct{})
	defer wg.Wait()
	defer close(over)
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		o := w.newOperator()
		o.client.Timeout = 3 * time.Second // More for large bodies.
		o.quiet = true
		for v := 1; changing.Load(); v++ {
			body := longConfig(v)
			for changing.Load() {
				if _, ok := o.until(time.Now().Add(5*time.Second), http.MethodPost, "/bulrushpath/Config.Replace", body); ok {
					acked.Store(int64(v))
					break
				}
			}
			if !trouble && v >= 60 {
				return
			}
		}
	}()
	if trouble {
		time.AfterFunc(powerTime, func() { stop.Store(true) })
		rest := w.machines
		for range 2 {
			m := losePower(rest, &stop)
			if m == nil {
				changing.Store(false)
				return false, errors.New("no moment for the power loss was found")
			}
			rest = slices.DeleteFunc(slices.Clone(rest), func(x *machine) bool { return x == m })
			time.Sleep(500 * time.Millisecond)
			wg.Add(1)
			go func() { defer wg.Done(); m.supervise("control", over) }()
			time.Sleep(time.Second + catchUp + stableWindow)
		}
		changing.Store(false)
	}
	<-changed
	w.record.addf("configuration %d is acknowledged, after %.1f s", acked.Load(), time.Since(begun).Seconds())
	time.Sleep(stableWindow)
	o := w.newOperator()
	read, ok := o.until(time.Now().Add(12*time.Second), http.MethodGet, "/bulrushpath/Config.Read", nil)
	var got struct{ Version int64 }
	if ok {
		ok = json.NewDecoder(bytes.NewReader(read)).Decode(&got) == nil
	}
	w.record.addf("read back: %v, version %d", ok, got.Version)
	return !ok || got.Version < acked.Load(), nil
}

// supervise starts a process, and starts it again each time when it ends by itself, until stop is
// closed. It returns when the process runs, or after stop.
func (m *machine) supervise(roleName string, stop <-chan struct{}) {
	for n := 1; ; n++ {
		if err := m.start(roleName, false); err != nil {
			m.w.record.addf("%s: %v", m.name, err)
			return
		}
		m.mu.Lock()
		cmd := m.procs[roleName]
		m.mu.Unlock()
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		select {
		case err := <-ended:
			m.w.record.addf("%s: start %d: %s ended by itself: %v", m.name, n, roleName, err)
			m.mu.Lock()
			delete(m.procs, roleName)
			m.mu.Unlock()
		case <-time.After(time.Second):
			m.w.record.addf("%s: %s runs again", m.name, roleName)
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(restartPause):
		}
	}
}

// resume lets a stopped process go on.
func (m *machine) resume(roleName string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cmd := m.procs[roleName]; cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGCONT)
	}
}
