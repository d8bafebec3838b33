// Package proc starts real processes for tests and stops, pauses and resumes them by
// their process id.
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

// programs maps program names to packages of the workspace.
var programs = map[string]string{
	"bulrush-entry":   "./entry/bulrush-entry",
	"bulrush-agent":   "./agent/bulrush-agent",
	"bulrush-control": "./control/bulrush-control",
	"bulrush-standin": "./standin",
	"bulrush-load":    "./load",
	"bulrushpath":     "./ctl",
}

// Build builds all programs into dir. It finds the workspace root relative to this
// source file.
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

// Process is a program that can be restarted.
type Process struct {
	// Name identifies the process in error messages.
	Name string
	// Log is the path of the file with its standard output and error over all restarts.
	Log string

	path string
	args []string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the current run has exited.
	exited   chan struct{}
	exitCode int
}

// Start starts a program. It is killed when the test ends.
func Start(t testing.TB, name, log, path string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, Log: log, path: path, args: args}
	p.Restart(t)
	t.Cleanup(p.Kill)
	return p
}

// Restart starts the program again after it has exited.
func (p *Process) Restart(t testing.TB) {
	t.Helper()
	file, err := os.OpenFile(p.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		t.Fatalf("open log of %s: %v", p.Name, err)
	}
	defer func() { _ = file.Close() }()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = file, file
	// The kernel kills the process when the test binary dies, even by SIGKILL.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", p.Name, err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		p.exitCode = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(exited)
	}()
}

func (p *Process) currentRun() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.exited
}

func (p *Process) signal(s syscall.Signal) {
	cmd, exited := p.currentRun()
	select {
	case <-exited:
	default:
		if err := cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
			panic(fmt.Sprintf("signal %s: %v", p.Name, err))
		}
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	_, exited := p.currentRun()
	<-exited
}

// Pid returns the process id of the running program.
func (p *Process) Pid() int {
	cmd, _ := p.currentRun()
	return cmd.Process.Pid
}

// Pause sends SIGSTOP.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume sends SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Running reports whether the process has not exited; a paused process is running.
func (p *Process) Running() bool {
	_, exited := p.currentRun()
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// Wait returns the exit code, or false if the process has not exited within d.
func (p *Process) Wait(d time.Duration) (code int, ok bool) {
	_, exited := p.currentRun()
	select {
	case <-exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.exitCode, true
	case <-time.After(d):
		return 0, false
	}
}
