package plain

import (
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/standin/answer"
	"bulrushpath.example/standin/probe"
)

// Guards against an audit that misses executions whose response was lost, or
// executions before a crash.
func TestAuditCountsLostAnswers(t *testing.T) {
	s, err := Start(DefaultConfig())
	assert.NilError(t, err)
	defer s.Close()
	type body struct {
		Ref string `json:"ref"`
	}
	s.Inject(Faults{LoseAnswers: 1})
	assert.Assert(t, probe.Post(t.Context(), s.Addr(), "/reserve", body{"r1"}) != nil)
	s.Inject(Faults{CrashMillis: 30})
	for i := 0; probe.Post(t.Context(), s.Addr(), "/reserve", body{"r2"}) != nil; i++ {
		assert.Assert(t, i < 1000)
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, probe.Post(t.Context(), s.Addr(), "/reserve", body{"r1"}))
	a, err := probe.Get[Audit](t.Context(), s.Addr(), "/audit")
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Repeated["r1"], 2)
	assert.Equal(t, a.Crashes, 1)

	resp, err := http.Post("http://"+s.Addr().String()+"/pay", "application/json", strings.NewReader(`{"ref":"r3"}`))
	assert.NilError(t, err)
	defer resp.Body.Close()
	got := make([]byte, 200)
	n, _ := resp.Body.Read(got)
	assert.Equal(t, string(got[:n]), answer.PlainBody("POST", "/pay", "r3"))
}

// Guards against execution counts that are lost when the process ends.
func TestJournalOutlivesTheProcess(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Journal = filepath.Join(t.TempDir(), "journal")
	for range 2 {
		s, err := Start(cfg)
		assert.NilError(t, err)
		assert.NilError(t, probe.Post(t.Context(), s.Addr(), "/pay", map[string]string{"ref": "r \"1\""}))
		s.Close()
	}
	s, err := Start(cfg)
	assert.NilError(t, err)
	defer s.Close()
	assert.Equal(t, s.Runs("r \"1\""), 2)
}
