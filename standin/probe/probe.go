// Package probe is an HTTP client for the state, audit and fault endpoints of the
// stand-ins.
package probe

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/dghubble/sling"
)

// Get requests path and decodes the JSON response into a T.
func Get[T any](ctx context.Context, addr netip.AddrPort, path string) (T, error) {
	var out T
	err := receive(ctx, sling.New().Base("http://"+addr.String()).Get(path), &out)
	return out, err
}

// Post sends body as JSON to path. A status of 300 or above is an error.
func Post(ctx context.Context, addr netip.AddrPort, path string, body any) error {
	return receive(ctx, sling.New().Base("http://"+addr.String()).Post(path).BodyJSON(body), nil)
}

func receive(ctx context.Context, s *sling.Sling, out any) error {
	req, err := s.Request()
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	resp, err := s.Do(req.WithContext(ctx), out, nil) //nolint:bodyclose // sling closes it
	if err != nil {
		return fmt.Errorf("%s %s: %w", req.Method, req.URL, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: status %d", req.Method, req.URL, resp.StatusCode)
	}
	return nil
}
