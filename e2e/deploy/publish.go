package deploy

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"

	"bulrushpath.example/lib/wire"
)

// Publish publishes a configuration with bulrushpath publish and waits until it is in
// effect everywhere. It fails the test if the command fails.
func (d *Deployment) Publish(text string) {
	d.t.Helper()
	if out, code := d.TryPublish(text); code != 0 {
		d.t.Fatalf("publish: exit code %d: %s", code, out)
	}
}

// TryPublish runs bulrushpath publish and returns its output and exit code.
func (d *Deployment) TryPublish(text string, flags ...string) (out string, code int) {
	d.t.Helper()
	cmd := d.PublishCommand(text, flags...)
	data, _ := cmd.CombinedOutput()
	return string(data), cmd.ProcessState.ExitCode()
}

// PublishCommand returns the command that publishes a configuration, without starting
// it.
func (d *Deployment) PublishCommand(text string, flags ...string) *exec.Cmd {
	d.t.Helper()
	d.configFiles++
	path := d.writeSettings(fmt.Sprintf("config%d.bulrush.ini", d.configFiles), text)
	args := append([]string{"publish", "--control", d.controlList()}, flags...)
	return exec.Command(ProgramPath(d.t, "bulrushpath"), append(args, path)...)
}

// RemoveDataDir deletes the data directory of a control instance, which must not be
// running.
func (d *Deployment) RemoveDataDir(i int) error { return os.RemoveAll(d.Controls[i].dir) }

// EntryReady reports whether an entry instance is ready.
func (d *Deployment) EntryReady(i int) bool {
	resp, err := http.Get("http://" + d.Entries[i].Addr.String() + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all running entry instances and all running targets with a
// running agent are ready, and all models are resident.
func (d *Deployment) AwaitReady() {
	d.t.Helper()
	for i, n := range d.Entries {
		if n.Running() {
			d.Await("entry instance "+n.Name+" ready", func() bool { return d.EntryReady(i) })
		}
	}
	d.Await("targets ready", func() bool {
		st := d.Status()
		return st != nil && d.targetsReady(st)
	})
	d.AwaitResident()
}

func (d *Deployment) targetsReady(st *wire.StatusReply) bool {
	ready := make(map[string]bool)
	for _, a := range st.Targets {
		ready[a.Target] = a.Phase == wire.Phase_PHASE_READY
	}
	for _, list := range [][]*Target{d.Engines, d.Plains} {
		for _, tg := range list {
			if tg.Running() && tg.Agent.Running() && !ready[tg.Name] {
				return false
			}
		}
	}
	return true
}

// AwaitResident waits until every model of the configuration has its minimum number
// of copies, each with all adapters.
func (d *Deployment) AwaitResident() {
	d.t.Helper()
	missing := ""
	defer func() {
		if d.t.Failed() {
			d.t.Log(missing)
		}
	}()
	d.Await("all models resident", func() bool {
		st := d.Status()
		if st == nil {
			missing = "no leader"
			return false
		}
		missing = MissingCopies(st)
		return missing == ""
	})
}

// MissingCopies describes the models with fewer copies at ready targets than their minimum.
// It returns an empty string if there are none.
func MissingCopies(st *wire.StatusReply) string {
	var lines []string
	for _, m := range st.GetConfig().GetModels() {
		if n := CompleteCopies(st, m); n < int(m.MinCopies) {
			lines = append(lines, fmt.Sprintf("model %s version %s: %d of %d copies", m.Name, m.Version, n, m.MinCopies))
		}
	}
	return strings.Join(lines, "; ")
}

// CompleteCopies returns the number of ready targets at which the current version of a model
// is resident with all its adapters.
func CompleteCopies(st *wire.StatusReply, m *wire.Model) int {
	n := 0
	for _, a := range st.Targets {
		if a.Phase != wire.Phase_PHASE_READY {
			continue
		}
		want := map[string]bool{"": true}
		for _, ad := range m.Adapters {
			want[ad.Name] = true
		}
		for _, c := range a.Resident {
			if c.Model == m.Name && c.Version == m.Version {
				delete(want, c.Adapter)
			}
		}
		if len(want) == 0 {
			n++
		}
	}
	return n
}
