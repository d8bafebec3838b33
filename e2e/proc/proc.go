// Package proc starts real processes for tests and ends, pauses and resumes them
// by their process id.
package proc

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"
)

// programs maps the name of each program to its package in the workspace.
var programs = map[string]string{
	"bulrush-entry":   "./entry/bulrush-entry",
	"bulrush-agent":   "./agent/bulrush-agent",
	"bulrush-control": "./control/bulrush-control",
	"bulrush-standin": "./standin",
	"bulrush-load":    "./load",
	"bulrushpath":     "./ctl",
}

// Build builds all programs into dir, with the workspace's root found from this file.
func Build(dir string) error {
	_, file, _, _ := runtime.Caller(0)
	root := filepath.Join(filepath.Dir(file), "..", "..")
	for name, pkg := range programs {
		cmd := exec.Command("go", "build", "-o", filepath.Join(dir, name), pkg)
		cmd.Dir = root
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w\n%s", name, err, out)
		}
	}
	return nil
}

// Process is one running program.
type Process struct {
	// Name describes the process in failures.
	Name string
	// Log is the file with its standard output and error, over all restarts.
	Log string

	path string
	args []string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the current run is over.
	ended chan struct{}
	code  int
}

// Start starts a program; the test ends it at its cleanup.
func Start(t testing.TB, name, log, path string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, Log: log, path: path, args: args}
	p.Restart(t)
	t.Cleanup(p.Kill)
	return p
}

// Restart starts the program again after it ended.
func (p *Process) Restart(t testing.TB) {
	t.Helper()
	file, err := os.OpenFile(p.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		t.Fatalf("open log of %s: %v", p.Name, err)
	}
	defer func() { _ = file.Close() }()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = file, file
	// The process ends with the test binary even if that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", p.Name, err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		p.code = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(ended)
	}()
}

func (p *Process) current() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.ended
}

func (p *Process) signal(s syscall.Signal) {
	cmd, ended := p.current()
	select {
	case <-ended:
	default:
		if err := cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
			panic(fmt.Sprintf("signal %s: %v", p.Name, err))
		}
	}
}

// Kill sends SIGKILL and waits for the end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	_, ended := p.current()
	<-ended
}

// Pid returns the process id of the running program.
func (p *Process) Pid() int {
	cmd, _ := p.current()
	return cmd.Process.Pid
}

// Pause stops the process until Resume.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Term asks the process to end.
func (p *Process) Term() { p.signal(syscall.SIGTERM) }

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	_, ended := p.current()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// Wait returns the exit code, or false if the process has not ended within d.
func (p *Process) Wait(d time.Duration) (code int, ok bool) {
	_, ended := p.current()
	select {
	case <-ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.code, true
	case <-time.After(d):
		return 0, false
	}
}
