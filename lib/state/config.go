package state

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/wire"
)

const (
	maxPublications  = 4096
	maxIDBytes       = 64
	maxOperatorBytes = 256
	defaultRetention = time.Hour
)

// configTable holds the current configuration and the latest publications.
type configTable struct {
	// current is nil until the first publication. Its version increases by 1 with
	// each accepted publication and never decreases.
	current     *wire.Config
	operator    string
	publishedAt int64
	// recent holds the last maxPublications publications, oldest first.
	recent []*wire.PublicationRecord
	byID   map[string]*wire.PublicationRecord
}

// Digest returns the SHA-256 of cfg without its version and digest.
func Digest(cfg *wire.Config) ([]byte, error) {
	content := proto.CloneOf(cfg)
	content.Version, content.Digest = 0, nil
	data, err := marshal(content)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	sum := sha256.Sum256(data)
	return sum[:], nil
}

// Config returns the current configuration, nil before the first publication. The
// caller must not modify it.
func (m *Machine) Config() *wire.Config { return m.config.current }

// Published returns who published the current configuration, and when.
func (m *Machine) Published() (operator string, at time.Time) {
	return m.config.operator, time.UnixMilli(m.config.publishedAt)
}

func (t *configTable) retention() time.Duration {
	if ms := t.current.GetPolicy().GetClaimRetentionMillis(); ms > 0 {
		return min(time.Duration(min(ms, uint64(maxRetention.Milliseconds())))*time.Millisecond, maxRetention)
	}
	return defaultRetention
}

// publish replaces the configuration by compare-and-set on its version. A known
// publication ID gets the same reply again, so that a resend after a lost reply
// does not conflict with itself.
func (t *configTable) publish(now int64, req *wire.PublishRequest) (*wire.PublishReply, error) {
	if err := checkBytes("publicationId", req.GetPublicationId(), maxIDBytes); err != nil {
		return nil, err
	}
	if req.GetConfig() == nil || len(req.GetOperator()) > maxOperatorBytes {
		return nil, fmt.Errorf("publication needs a configuration and an operator of at most %d bytes", maxOperatorBytes)
	}
	digest := req.GetConfig().GetDigest()
	if rec, ok := t.byID[string(req.GetPublicationId())]; ok {
		if !bytes.Equal(rec.GetDigest(), digest) {
			return &wire.PublishReply{
				Outcome: wire.PublishOutcome_PUBLISH_OUTCOME_INVALID,
				Message: "the publication id was used for other content",
			}, nil
		}
		return proto.CloneOf(rec.GetReply()), nil
	}
	reply := t.compareAndSet(now, req)
	rec := &wire.PublicationRecord{Id: req.GetPublicationId(), Digest: digest, Reply: proto.CloneOf(reply)}
	t.byID[string(rec.GetId())] = rec
	if len(t.recent) == maxPublications {
		delete(t.byID, string(t.recent[0].GetId()))
	}
	t.recent = appendBounded(t.recent, rec, maxPublications)
	return reply, nil
}

func (t *configTable) compareAndSet(now int64, req *wire.PublishRequest) *wire.PublishReply {
	version := t.current.GetVersion()
	if t.sameContent(req.GetConfig()) {
		return &wire.PublishReply{Outcome: wire.PublishOutcome_PUBLISH_OUTCOME_UNCHANGED, Version: version}
	}
	if req.GetBaseVersion() != version {
		return &wire.PublishReply{
			Outcome:         wire.PublishOutcome_PUBLISH_OUTCOME_CONFLICT,
			Version:         version,
			Winner:          t.operator,
			WonAtUnixMillis: t.publishedAt,
			Message:         fmt.Sprintf("base version is %d, version %d is in force", req.GetBaseVersion(), version),
		}
	}
	t.current = req.GetConfig()
	t.current.Version = version + 1
	t.operator, t.publishedAt = req.GetOperator(), now
	return &wire.PublishReply{Outcome: wire.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED, Version: version + 1}
}

// sameContent compares cfg with the current configuration field by field, ignoring
// version and digest. It does not compare digests or encodings, because the encoding
// may differ between builds, and replicas of different builds must agree.
func (t *configTable) sameContent(cfg *wire.Config) bool {
	if t.current == nil {
		return false
	}
	content := proto.CloneOf(cfg)
	content.Version, content.Digest = t.current.GetVersion(), t.current.GetDigest()
	return proto.Equal(content, t.current)
}

func (t *configTable) save(s *wire.StateSnapshot) {
	s.Config, s.Operator, s.PublishedUnixMillis = t.current, t.operator, t.publishedAt
	s.Publications = t.recent
}

func (t *configTable) load(s *wire.StateSnapshot) {
	*t = configTable{
		current:     s.GetConfig(),
		operator:    s.GetOperator(),
		publishedAt: s.GetPublishedUnixMillis(),
		recent:      s.GetPublications(),
		byID:        make(map[string]*wire.PublicationRecord, len(s.GetPublications())),
	}
	for _, rec := range t.recent {
		t.byID[string(rec.GetId())] = rec
	}
}
