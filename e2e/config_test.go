package e2e

import (
	"os/exec"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/e2e/deploy"
	"bulrushpath.example/load/caller"
)

// watchVersions fails the test if the configuration version reported by the control
// group or by a process ever decreases.
func watchVersions(t *testing.T, d *deploy.Deployment) (stop func()) {
	t.Helper()
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		var groupVersion uint64
		processVersions := make(map[string]uint64)
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			st := d.Status()
			if st == nil {
				continue
			}
			if st.ConfigVersion < groupVersion {
				t.Errorf("control group went from version %d to %d", groupVersion, st.ConfigVersion)
			}
			groupVersion = st.ConfigVersion
			for _, p := range st.Processes {
				if p.ConfigVersion < processVersions[p.Name] {
					t.Errorf("%s went from version %d to %d", p.Name, processVersions[p.Name], p.ConfigVersion)
				}
				processVersions[p.Name] = p.ConfigVersion
			}
		}
	})
	return sync.OnceFunc(func() {
		close(done)
		wg.Wait()
	})
}

func configVersion(t *testing.T, d *deploy.Deployment) (v uint64) {
	t.Helper()
	d.Await("the current configuration version", func() bool {
		st := d.Status()
		v = st.GetConfigVersion()
		return st != nil
	})
	return v
}

// Guards guarantee 8: a configuration neither reverts nor fails to arrive. The leader
// is killed and restarted, another instance loses its disk, and the leader is then
// partitioned silently while versions change and must catch up when it rejoins.
func TestConfigurationNeverReverts(t *testing.T) {
	d := deploy.Start(t, deploy.Spec{Config: config(1), Engines: engines(3), Links: true})
	stop := watchVersions(t, d)
	defer stop()

	oldLeader := d.AwaitLeader()
	d.Controls[oldLeader].Kill()
	d.AwaitLeader(oldLeader)
	d.Publish(config(2))
	d.RestartControl(oldLeader, true)

	diskless := (oldLeader + 1) % len(d.Controls)
	d.Controls[diskless].Kill()
	d.AwaitLeader(diskless)
	d.Publish(config(3))
	// Until the loss is detected, the instance still counts as a reachable voter under
	// its old identity.
	d.Await("loss of a control instance detected", func() bool { return reachableVoters(d) == len(d.Controls)-1 })
	d.RestartControl(diskless, false)
	d.Await("the instance with an empty disk is a voter again", func() bool { return reachableVoters(d) == len(d.Controls) })
	// A membership is reported once it is appended; only a later commit shows that it
	// is committed too.
	d.Publish(config(4))

	isolated := d.AwaitLeader()
	d.Isolate(isolated)
	d.AwaitLeader(isolated)
	d.Publish(config(5))
	before := configVersion(t, d)
	d.Rejoin(isolated)
	d.AwaitResident()
	assert.Equal(t, configVersion(t, d), before)
	stop()
	r := d.Client.Generate(t.Context(), generation("patterns", "in effect", 8, "5"))
	assert.Equal(t, r.Outcome, caller.Completed, r.Reason)
}

// reachableVoters returns the number of reachable voters of the control group, including the
// leader.
func reachableVoters(d *deploy.Deployment) int {
	n := 0
	for _, m := range d.Status().GetMembers() {
		if m.Voter && (m.Reachable || m.Leader) {
			n++
		}
	}
	return n
}

// Guards guarantee 8: of two operators who publish on the same base version, exactly
// one succeeds and the other gets a conflict. A resend by the winner has no effect.
func TestRacingOperators(t *testing.T) {
	d := deploy.Start(t, deploy.Spec{Config: config(1), Engines: engines(3)})
	stop := watchVersions(t, d)
	defer stop()
	base := configVersion(t, d)
	flags := func(name string) []string { return []string{"--operator", name, "--base", "1"} }
	assert.Equal(t, base, uint64(1))
	commands := []*exec.Cmd{
		d.PublishCommand(config(2), flags("ada")...),
		d.PublishCommand(config(3), flags("ben")...),
	}
	var wg sync.WaitGroup
	for _, c := range commands {
		wg.Go(func() { _ = c.Run() })
	}
	wg.Wait()
	codes := map[int]int{}
	winner := 0
	for i, c := range commands {
		code := c.ProcessState.ExitCode()
		codes[code]++
		if code == 0 {
			winner = i
		}
	}
	assert.DeepEqual(t, codes, map[int]int{0: 1, 3: 1})
	assert.Equal(t, configVersion(t, d), uint64(2))
	// A resend by the winner succeeds without creating another version.
	name := []string{"ada", "ben"}[winner]
	out, code := d.TryPublish(config(2+winner), flags(name)...)
	assert.Equal(t, code, 0, out)
	assert.Equal(t, configVersion(t, d), uint64(2))
}
