package control

import (
	"context"
	"io"
	"net/netip"
	"time"

	"bulrushpath.example/lib/allot"
	"bulrushpath.example/lib/quorum"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/wire"
)

// fleetTickInterval is the interval between two calls of Fleet.tick.
const fleetTickInterval = 100 * time.Millisecond

type options struct {
	fleet        bool
	decode       func(version uint64, content []byte) (*site.Config, error)
	engineClient EngineClient
	frontend     func(f *Fleet) (io.Closer, error)
	orderPause   time.Duration
	// relayTargets is the number of targets from which on other instances relay announcements.
	relayTargets int
	// callRelay passes announcements on to the leader at addr.
	callRelay func(ctx context.Context, addr netip.AddrPort, req *wire.RelayRequest) (*wire.RelayReply, error)
	// changes receives the settings that a running instance takes over; may be nil.
	changes <-chan Changes
	// announcePeriod is the expected interval between two announcements of a target.
	announcePeriod time.Duration
	// quotaTolerance is what may be spent beyond the quotas of customers.
	quotaTolerance allot.Tolerance
}

// defaultRelayTargets applies if WithRelayTargets is not used.
const defaultRelayTargets = 1200

// WithRelayTargets sets the number of targets from which on the control instances that do not lead
// take announcements and pass them on to the leader; 0 means never.
func WithRelayTargets(n int) Option { return func(o *options) { o.relayTargets = n } }

// defaultAnnouncePeriod applies if WithAnnouncePeriod is not used.
const defaultAnnouncePeriod = 1200 * time.Millisecond

// Option configures Run.
type Option func(*options)

// WithFleet enables the management of targets that announce themselves. decode parses
// the configuration documents, engineClient sends orders to the engines, and frontend
// starts the interface for targets and operators, which Run closes before it returns.
func WithFleet(decode func(version uint64, content []byte) (*site.Config, error), engineClient EngineClient,
	frontend func(f *Fleet) (io.Closer, error),
) Option {
	return func(o *options) {
		o.fleet, o.decode, o.engineClient, o.frontend = true, decode, engineClient, frontend
	}
}

// WithOrderPause sets how long a new leader waits before it sends orders to engines, so
// that the orders of the previous leader have ended by then. This matters for engines that
// do not check fencing tokens.
func WithOrderPause(d time.Duration) Option { return func(o *options) { o.orderPause = d } }

// Changes are the settings that a running instance takes over when they change.
type Changes struct {
	// Tolerance states the losses that the group must bear.
	Tolerance quorum.Tolerance
	// Peers lists the instances that the settings name, which are told where the group is.
	Peers []Peer
}

// WithChanges passes changes of the settings to the running instance.
func WithChanges(changes <-chan Changes) Option {
	return func(o *options) { o.changes = changes }
}

// WithAnnouncePeriod sets the expected interval between two announcements of a target.
// The leader uses it to decide when a silent target is probably gone.
func WithAnnouncePeriod(d time.Duration) Option { return func(o *options) { o.announcePeriod = d } }

// WithQuotaTolerance sets what customers may spend beyond their quotas in a window. Without it,
// nothing is tolerated, so that quotas are exact at the price of more calls and of a pause of
// grants after a change of leader.
func WithQuotaTolerance(t allot.Tolerance) Option { return func(o *options) { o.quotaTolerance = t } }
