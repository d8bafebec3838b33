package daemon

import (
	"bytes"
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

// maxScrapes is the number of answers that are collected at the same time. Each takes some MB of
// garbage.
const maxScrapes = 2

// scraper collects answers of a handler one after the other, and sends them afterwards, so that a
// client that does not read keeps none waiting.
type scraper struct {
	next  http.Handler
	slots chan struct{}
}

func newScraper(next http.Handler) *scraper {
	return &scraper{next: next, slots: make(chan struct{}, maxScrapes)}
}

// ServeHTTP implements http.Handler.
func (s *scraper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	answer := &scrape{ResponseWriter: w, status: http.StatusOK}
	s.next.ServeHTTP(answer, r)
	<-s.slots
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body.Bytes())
}

// scrape is an answer that is not sent yet.
type scrape struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader implements http.ResponseWriter.
func (s *scrape) WriteHeader(status int) { s.status = status }

// Write implements io.Writer.
func (s *scrape) Write(p []byte) (int, error) { return s.body.Write(p) }
