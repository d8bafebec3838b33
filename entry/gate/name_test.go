package gate

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against names that a client makes up and that keep this instance from its reports to control
// (its configuration is then outdated), or grow them without bound.
func TestMadeUpNames(t *testing.T) {
	fx := newFixture(t, "engines", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) })
	send := func(model string) int {
		res, _, err := fx.do(t.Context(), http.MethodPost, "/stream/x", "", func(r *http.Request) {
			r.Header.Set("T-Model", model)
			r.Header.Set("T-Deadline", "200")
		})
		assert.NilError(t, err)
		return res.StatusCode
	}
	for _, model := range []string{"\xff\xfe", "m/\xff", "m\xc0/a1"} {
		assert.Equal(t, send(model), http.StatusBadRequest, "%q", model)
		assert.NilError(t, fx.gateway.report(t.Context()), "after %q", model)
	}
	for i := range 20 {
		assert.Equal(t, send(fmt.Sprint("unknown", i)), http.StatusServiceUnavailable)
	}
	req, _ := fx.gateway.buildReport()
	assert.Equal(t, len(req.GetDemand()), 0)
	assert.Equal(t, send("m"), http.StatusOK)
}
