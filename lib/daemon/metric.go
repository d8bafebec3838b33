package daemon

import (
	"io"
	"net/http"
	"time"

	tally "github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// metricInterval is how often tally reports to the Prometheus registry.
const metricInterval = time.Second

// newMetrics returns the root scope, the handler for /metrics and the closer of the scope.
func newMetrics(program string) (tally.Scope, http.Handler, io.Closer) {
	r := promreporter.NewReporter(promreporter.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "bulrush_" + program,
		CachedReporter:         r,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricInterval)
	return scope, r.HTTPHandler(), closer
}
