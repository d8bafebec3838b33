package gate

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a 503, which promises that a request was not run, after a target may have run
// it and its adapter cannot be fetched again.
func TestRefusalAfterAFailedFetchIsTrue(t *testing.T) {
	var fx *fixture
	fx = newFixture(t, "engines", func(w http.ResponseWriter, r *http.Request) {
		fx.control.mu.Lock()
		fx.control.refusal = "no slot"
		fx.control.mu.Unlock()
		// The table no longer lists the adapter.
		assert.Check(t, fx.gateway.report(t.Context()))
		closeConnection(w, r)
	})
	res, _, err := fx.do(t.Context(), http.MethodPost, "/resumed/1", "x", func(r *http.Request) {
		r.Header.Set("T-Model", "m/a")
		r.Header.Set("T-Deadline", "8000")
	})
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
}
