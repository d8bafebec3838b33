package gate

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a refusal for good by a configuration that a newer one may have replaced:
// an instance that has lost control, or was suspended, answered 404 for a route that an
// acknowledged version had added.
func TestRefusalByOutdatedConfig(t *testing.T) {
	fx := newFixture(t, "plain", respondSealed(http.StatusOK, "ok"))
	age := time.Duration(0)
	base := fx.gateway.contact.Now()
	fx.gateway.contact.Clock = func() time.Duration { return base + age }
	large := func(r *http.Request) { r.Header.Set("X-Large", strings.Repeat("x", 3000)) }
	for _, c := range []struct {
		name, path, body string
		change           func(r *http.Request)
		status           int
	}{
		{"unknown route", "/nowhere/", "", nil, http.StatusNotFound},
		{"large header", "/once/1", "", large, http.StatusRequestHeaderFieldsTooLarge},
		{"large body", "/once/1", strings.Repeat("x", 1001), nil, http.StatusRequestEntityTooLarge},
		{"known route", "/safe/1", "", nil, http.StatusOK},
	} {
		age = defaultMaxConfigAge / 2
		res, _, err := fx.do(t.Context(), http.MethodPost, c.path, c.body, c.change)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, c.status, c.name)

		age = defaultMaxConfigAge + time.Millisecond
		if c.status != http.StatusOK {
			c.status = http.StatusServiceUnavailable
		}
		res, _, err = fx.do(t.Context(), http.MethodPost, c.path, c.body, c.change)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, c.status, c.name)
		assert.Equal(t, res.Header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable, c.name)
	}
	fx.control.mu.Lock()
	fx.control.version++
	fx.control.mu.Unlock()
	assert.NilError(t, fx.gateway.report(t.Context()))
	res, _, err := fx.do(t.Context(), http.MethodPost, "/nowhere/", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusNotFound, "the report confirms the configuration")
}
