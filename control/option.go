package control

import (
	"io"
	"time"

	"bulrushpath.example/lib/site"
)

// fleetPeriod is the time between two runs of the fleet's planners.
const fleetPeriod = 100 * time.Millisecond

type options struct {
	fleet      bool
	decode     func(version uint64, content []byte) (*site.Config, error)
	engines    Engines
	front      func(f *Fleet) (io.Closer, error)
	orderPause time.Duration
	// announcePeriod is the time between two announcements of a target.
	announcePeriod time.Duration
}

// defaultAnnouncePeriod applies if the deployment names no period.
const defaultAnnouncePeriod = 1200 * time.Millisecond

// Option changes what Run serves.
type Option func(*options)

// WithFleet serves targets that announce themselves. decode reads the documents of
// the deployment, engines carries orders to its engines, and front starts the
// interface for targets and operators, which is closed at the end.
func WithFleet(decode func(version uint64, content []byte) (*site.Config, error), engines Engines,
	front func(f *Fleet) (io.Closer, error),
) Option {
	return func(o *options) {
		o.fleet, o.decode, o.engines, o.front = true, decode, engines, front
	}
}

// WithOrderPause sets how long a new leader gives no orders to engines, so that
// two leaders never take turns within that time.
func WithOrderPause(d time.Duration) Option { return func(o *options) { o.orderPause = d } }

// WithAnnouncePeriod sets the time between two announcements of a target, by which
// the leader judges silent ones.
func WithAnnouncePeriod(d time.Duration) Option { return func(o *options) { o.announcePeriod = d } }
