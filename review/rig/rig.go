package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Bounds of the deployment, as on the users' sheet of their small sites.
const (
	heartbeatPeriod = 1200 * time.Millisecond
	stableWindow    = 3000 * time.Millisecond
	catchUp         = 4 * time.Second
	grace           = 8 * time.Second
	// ackTimeout is how long a replica or the operator waits for an answer of one node.
	ackTimeout = time.Second
	// maxRedirects is the number of redirects that a caller of control follows.
	maxRedirects = 2
)

// rig is a small deployment: three machines with a disk, on each of them both roles.
type rig struct {
	root, dir string
	start     time.Time
	machines  []*machine
	// subnet holds the first three numbers of the loopback addresses of this run.
	subnet string
	ports  ports

	mu       sync.Mutex
	record   *os.File
	replicas []*replica
	nextID   int
	closing  context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// ports are the same on all machines.
type ports struct{ front, ready, control, peer int }

func newRig(root, record string) (*rig, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "platform")); err != nil {
		return nil, fmt.Errorf("the program of the deploy file is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &rig{
		root: root, dir: dir, start: time.Now(), record: f,
		subnet: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)),
	}
	r.closing, r.cancel = context.WithCancel(context.Background())
	for _, p := range []*int{&r.ports.front, &r.ports.ready, &r.ports.control, &r.ports.peer} {
		if *p, err = freePort(r.ip(1)); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *rig) ip(n int) string { return fmt.Sprintf("%s.%d", r.subnet, n) }

func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// logf writes a line to the record of the case and to the standard output.
func (r *rig) logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// close ends all processes that the rig has started and removes its folder.
func (r *rig) close() {
	r.cancel()
	for _, m := range r.machines {
		m.killAll()
	}
	r.mu.Lock()
	replicas := r.replicas
	r.mu.Unlock()
	for _, x := range replicas {
		x.crash()
	}
	r.wg.Wait()
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs are kept in", r.dir)
	}
}

// sleep waits for d and returns an error if the rig is closed meanwhile.
func (r *rig) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-r.closing.Done():
		return errInterrupted
	}
}

// await polls until ok returns true.
func (r *rig) await(what string, limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if ok() {
			return nil
		}
		if err := r.sleep(50 * time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s: not within %v", what, limit)
}

// newID returns an id that no one else has in this run.
func (r *rig) newID(prefix string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	return fmt.Sprintf("%s%04d%06x", prefix, r.nextID, rand.IntN(1<<24))
}

// startMachines starts all machines and waits until they are ready and have the configuration.
func (r *rig) startMachines(config map[string]any) error {
	for i := range 3 {
		r.machines = append(r.machines, newMachine(r, i+1))
	}
	for _, m := range r.machines {
		if err := m.startAll(); err != nil {
			return err
		}
	}
	if err := r.await("the first configuration", 20*time.Second, func() bool { return r.publish(config) == nil }); err != nil {
		return err
	}
	r.logf("configuration acknowledged")
	for _, m := range r.machines {
		if err := r.await("readiness of "+m.name, 20*time.Second, m.ready); err != nil {
			return err
		}
	}
	r.logf("all machines are ready")
	return nil
}

func (r *rig) controlURL(n int) string {
	return fmt.Sprintf("http://%s:%d", r.ip(n+1), r.ports.control)
}

// publish sends a configuration to a node of control and follows its redirects, as the operator
// does.
func (r *rig) publish(config map[string]any) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	status, _, err := callControl(r.closing, r.controlURL(rand.IntN(3))+"/bulrushpath/Config.Replace", body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

var controlClient = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

var errRedirects = errors.New("too many redirects")

// callControl posts a body to a node of control and follows its redirects.
func callControl(ctx context.Context, url string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	for range maxRedirects + 1 {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := controlClient.Do(req)
		if err != nil {
			return 0, nil, err
		}
		answer, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		if res.StatusCode != http.StatusTemporaryRedirect {
			return res.StatusCode, answer, nil
		}
		url = res.Header.Get("Location")
	}
	return 0, nil, errRedirects
}
