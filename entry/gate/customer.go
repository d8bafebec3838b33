package gate

import (
	"errors"
	"net/http"
	"time"

	"bulrushpath.example/lib/keys"
)

// headerAuthorization holds the API key of a request.
const headerAuthorization = "Authorization"

// confirmedShare is the part of the revocation bound for which a confirmed configuration may be
// used. The rest is for the answer of control, and for requests that arrive meanwhile.
const confirmedShare = 0.6

var (
	errKeyRevoked     = errors.New("the API key is no longer valid")
	errKeyUnconfirmed = errors.New("the configuration has not been confirmed for too long to use API keys")
)

// WithRevocationBound sets the time after the acknowledgement of a configuration from which on a
// key that it has removed must not be used at any instance, with contact to control or without.
func WithRevocationBound(d time.Duration) Option {
	return func(g *Gateway) { g.maxConfirmedAge = time.Duration(confirmedShare * float64(d)) }
}

// keysConfirmed reports whether the active configuration was confirmed recently enough for the
// use of API keys. A caller that reads the configuration as well must do so afterwards.
func (g *Gateway) keysConfirmed() bool {
	return g.maxConfirmedAge <= 0 || g.confirmed.Age() <= g.maxConfirmedAge
}

// authenticate finds the customer of the request.
func (c *call) authenticate() *failure {
	if !c.index.Config.KeysRequired || c.route.Public {
		return nil
	}
	if !c.gateway.keysConfirmed() {
		return c.unconfirmedFailure()
	}
	key, err := keys.ParseBearer(c.r.Header[headerAuthorization])
	if err != nil {
		return c.refuseKey(err.Error())
	}
	c.key = key
	if c.customer = c.index.Customer(key); c.customer == nil {
		return c.refuseKey("unknown API key")
	}
	return nil
}

// refuseKey refuses the request with 401, unless a newer configuration may allow it.
func (c *call) refuseKey(reason string) *failure {
	f := c.refuseByConfig(http.StatusUnauthorized, reason)
	if f.status == http.StatusUnauthorized {
		c.w.Header().Set("Www-Authenticate", "Bearer")
		c.gateway.metrics.refusedKeys.Inc(1)
	}
	return f
}

// unconfirmedFailure refuses the request because the active configuration may be out of date.
func (c *call) unconfirmedFailure() *failure {
	c.gateway.metrics.unconfirmedKeys.Inc(1)
	return &failure{status: http.StatusServiceUnavailable, reason: errKeyUnconfirmed.Error(), retryAfter: staleRetryAfter}
}

// checkKey returns an error if the key of the request must not be used for another send: the
// request may have waited since it was authenticated.
func (c *call) checkKey() error {
	if c.customer == nil {
		return nil
	}
	if !c.gateway.keysConfirmed() {
		return errKeyUnconfirmed
	}
	if now := c.gateway.index.Load().Customer(c.key); now == nil || now.Name != c.customer.Name {
		return errKeyRevoked
	}
	return nil
}

// keyFailure is the failure of a request whose key may not be used for another send.
func (c *call) keyFailure(err error) *failure {
	switch {
	case c.incompleteAttempts > 0 || c.headerSent:
		return &failure{status: http.StatusBadGateway, reason: "answer incomplete: " + err.Error()}
	case errors.Is(err, errKeyRevoked):
		c.index = c.gateway.index.Load()
		return c.refuseKey(err.Error())
	}
	return c.unconfirmedFailure()
}

// setCustomerHeader names the customer to the target.
func (c *call) setCustomerHeader() {
	if name := c.gateway.headers.Customer; name != "" && c.customer != nil {
		c.outbound.Header.Set(name, c.customer.Name)
	}
}
