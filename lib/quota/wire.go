package quota

import (
	"math"
	"time"

	"bulrushpath.example/lib/wire"
)

// perThousandSeconds is the unit of rates in messages.
const perThousandSeconds = 1000

// FromWire returns the limit in a message that was received at now.
func FromWire(now time.Time, m *wire.TargetLimit) Limit {
	return Limit{
		Target: m.GetTarget(), StartedAt: time.UnixMilli(m.GetBornMillis()),
		PerSecond: float64(m.GetMilliPerSecond()) / perThousandSeconds,
		NamedAt:   now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond),
	}
}

// ToWire returns the limit as a message that is sent at now.
func (l Limit) ToWire(now time.Time) *wire.TargetLimit {
	return &wire.TargetLimit{
		Target: l.Target, BornMillis: l.StartedAt.UnixMilli(),
		MilliPerSecond: uint64(math.Round(l.PerSecond * perThousandSeconds)),
		AgeMillis:      uint64(max(now.Sub(l.NamedAt), 0).Milliseconds()),
	}
}

// ToWire returns the reservation as a message.
func (t Reservation) ToWire() *wire.PermitReply {
	return &wire.PermitReply{
		Granted: t.Granted, WaitMicros: uint64(t.Wait.Microseconds()), NextMicros: uint64(t.Next.Microseconds()),
		NextLastResortMicros: uint64(t.NextLastResort.Microseconds()),
	}
}

// ReservationFromWire returns the reservation in a message.
func ReservationFromWire(m *wire.PermitReply) Reservation {
	micros := func(n uint64) time.Duration { return time.Duration(n) * time.Microsecond }
	return Reservation{
		Granted: m.GetGranted(), Wait: micros(m.GetWaitMicros()), Next: micros(m.GetNextMicros()),
		NextLastResort: micros(m.GetNextLastResortMicros()),
	}
}

// LimitsFromWire returns the limits in a message that was received at now.
func LimitsFromWire(now time.Time, list []*wire.TargetLimit) []Limit {
	out := make([]Limit, 0, len(list))
	for _, m := range list {
		out = append(out, FromWire(now, m))
	}
	return out
}
