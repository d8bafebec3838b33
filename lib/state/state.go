// Package state implements the replicated state machine of the control group:
// configuration versions, the platform's document, the durable list of targets,
// claims of non-idempotent requests, suspects, incarnations and load intents. It is
// deterministic: equal logs give equal states, and time comes only from log entries.
package state

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/wire"
)

// snapshotFormat is incremented when the meaning of a snapshot field changes.
const snapshotFormat = 1

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	// applied is the index of the last applied entry.
	applied uint64
	// now is the highest time of any applied entry, in Unix milliseconds. It never
	// decreases, even if a later entry has an earlier time.
	now int64

	config       configTable
	document     documentTable
	roster       rosterTable
	parts        partTable
	claims       claimTable
	suspects     suspectTable
	incarnations incarnationTable
}

// New returns a Machine with empty state.
func New() *Machine {
	m := &Machine{}
	m.load(&wire.StateSnapshot{})
	return m
}

// Apply executes one log entry and returns the encoded wire.CommandReply. A
// malformed command only advances the time, and its reply holds an error.
func (m *Machine) Apply(index uint64, at time.Time, command []byte) []byte {
	m.applied = index
	m.now = max(m.now, at.UnixMilli())
	m.claims.advanceFloor(m.now, m.config.retention())
	var cmd wire.Command
	var reply *wire.CommandReply
	if err := proto.Unmarshal(command, &cmd); err != nil {
		reply = &wire.CommandReply{Error: fmt.Sprintf("decode command: %v", err)}
	} else {
		reply = m.execute(&cmd)
	}
	out, err := marshal(reply)
	if err != nil {
		out, _ = marshal(&wire.CommandReply{Error: "encode reply"})
	}
	return out
}

func (m *Machine) execute(cmd *wire.Command) *wire.CommandReply {
	reply := &wire.CommandReply{}
	var err error
	switch body := cmd.GetBody().(type) {
	case *wire.Command_Publish:
		var r *wire.PublishReply
		r, err = m.config.publish(m.now, body.Publish)
		reply.Body = &wire.CommandReply_Publish{Publish: r}
	case *wire.Command_Claim:
		var r *wire.ClaimReply
		r, err = m.claims.claim(m.now, body.Claim)
		reply.Body = &wire.CommandReply_Claim{Claim: r}
	case *wire.Command_Settle:
		var r *wire.SettleReply
		r, err = m.claims.settle(m.now, body.Settle)
		reply.Body = &wire.CommandReply_Settle{Settle: r}
	case *wire.Command_Crash:
		var r *wire.CrashReply
		r, err = m.suspects.report(m.now, body.Crash)
		reply.Body = &wire.CommandReply_Crash{Crash: r}
	case *wire.Command_Judge:
		var r *wire.JudgeReply
		r, err = m.suspects.judge(m.now, body.Judge)
		reply.Body = &wire.CommandReply_Judge{Judge: r}
	case *wire.Command_Register:
		var r *wire.RegisterReply
		r, err = m.incarnations.register(m.now, body.Register)
		reply.Body = &wire.CommandReply_Register{Register: r}
	case *wire.Command_Intend:
		var r *wire.IntendReply
		r, err = m.incarnations.intend(m.now, body.Intend)
		reply.Body = &wire.CommandReply_Intend{Intend: r}
	case *wire.Command_Post:
		var r *wire.PostReply
		r, err = m.document.post(body.Post)
		reply.Body = &wire.CommandReply_Post{Post: r}
	case *wire.Command_Enlist:
		reply.Body = &wire.CommandReply_Enlist{Enlist: m.roster.enlist(body.Enlist)}
	case *wire.Command_PartLosses:
		var r *wire.PartLossesReply
		r, err = m.parts.replace(body.PartLosses)
		reply.Body = &wire.CommandReply_PartLosses{PartLosses: r}
	case *wire.Command_Sweep:
		reply.Body = &wire.CommandReply_Sweep{Sweep: m.sweep(body.Sweep)}
	default:
		err = fmt.Errorf("command has no body")
	}
	if err != nil {
		return &wire.CommandReply{Error: err.Error()}
	}
	return reply
}

// sweep removes expired records. The limit applies only to claims, which are the only
// records numerous enough to need it.
func (m *Machine) sweep(req *wire.SweepRequest) *wire.SweepReply {
	removed, more := m.claims.sweep(int(req.GetLimit()))
	removed += m.suspects.sweep(m.now) + m.incarnations.sweep(m.now)
	return &wire.SweepReply{Removed: uint32(removed), More: more}
}

// SweepDue reports whether a sweep at time now would change the state.
func (m *Machine) SweepDue(now time.Time) bool {
	at := max(m.now, now.UnixMilli())
	return m.claims.due(at-m.config.retention().Milliseconds()) ||
		m.suspects.due(at) || m.incarnations.due(at)
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	s := &wire.StateSnapshot{Format: snapshotFormat, Applied: m.applied, NowUnixMillis: m.now}
	m.config.save(s)
	s.Document = m.document.current
	s.Roster = m.Roster()
	s.PartLosses = m.parts.current
	m.claims.save(s)
	m.suspects.save(s)
	m.incarnations.save(s)
	data, err := marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode state snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state with a snapshot. On error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s wire.StateSnapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode state snapshot: %w", err)
	}
	if s.GetFormat() != snapshotFormat {
		return fmt.Errorf("state snapshot has format %d, want %d", s.GetFormat(), snapshotFormat)
	}
	m.load(&s)
	return nil
}

func (m *Machine) load(s *wire.StateSnapshot) {
	m.applied, m.now = s.GetApplied(), s.GetNowUnixMillis()
	m.config.load(s)
	m.document.current = s.GetDocument()
	m.roster.load(s.GetRoster())
	m.parts.current = s.GetPartLosses()
	m.claims.load(s)
	m.suspects.load(s)
	m.incarnations.load(s)
}

// Applied returns the index of the last applied entry.
func (m *Machine) Applied() uint64 { return m.applied }

func marshal(msg proto.Message) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(msg)
}

// checkBytes returns an error unless b has 1 to limit bytes.
func checkBytes(field string, b []byte, limit int) error {
	if len(b) == 0 || len(b) > limit {
		return fmt.Errorf("%s has %d bytes, want 1 to %d", field, len(b), limit)
	}
	return nil
}

// appendBounded appends item and removes the oldest items beyond limit.
func appendBounded[T any](list []T, item T, limit int) []T {
	list = append(list, item)
	if len(list) > limit {
		list = slices.Clone(list[len(list)-limit:])
	}
	return list
}
