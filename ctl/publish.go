package main

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

const publishUsage = `
Validates the files, publishes them as the next version and waits until every
process in contact with the control group has acknowledged it. If there are
findings, nothing is published.

The publication is accepted only if the current version is still the one given
by --base (by default the current version when the command starts). If another
operator has published in the meantime, it fails with a conflict that names that
operator. Retrying after a lost reply is safe: the same files on the same base
get the same version, and publishing the current content changes nothing.

Exit codes: 0 in effect at all processes, 1 control group unreachable,
2 findings, 3 conflict, 4 accepted, but not acknowledged by all processes in time.`

// pollPeriod is how often publish polls the status for acknowledgements of the new version.
const pollPeriod = 200 * time.Millisecond

type publishCmd struct {
	controlFlags
	fileArgs
	Base     *uint64       `placeholder:"VERSION" help:"Version that the change is based on (default: the current version)."`
	Operator string        `placeholder:"NAME" help:"Name of the operator; shown to others in case of a conflict (default: the current user)."`
	Wait     time.Duration `default:"20s" help:"How long to wait until the version is in effect at all processes; 0 does not wait."`
}

// Help returns the detailed help text of the command.
func (publishCmd) Help() string { return publishUsage }

// Run publishes the files and waits until the new version is in effect.
func (c *publishCmd) Run(ctx context.Context) error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	if err := c.setDefaults(ctx); err != nil {
		return err
	}
	reply, err := c.publish(ctx, cfg)
	if err != nil {
		return err
	}
	switch reply.Outcome {
	case wire.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED:
		fmt.Printf("accepted as version %d\n", reply.Version)
	case wire.PublishOutcome_PUBLISH_OUTCOME_UNCHANGED:
		fmt.Printf("unchanged: version %d has the same content\n", reply.Version)
	case wire.PublishOutcome_PUBLISH_OUTCOME_CONFLICT:
		at := time.UnixMilli(reply.WonAtUnixMillis).UTC().Format(time.RFC3339)
		return &exitError{exitConflict, fmt.Errorf(
			"conflict: version %d was published by %s at %s; review it, merge your change and publish with --base %d",
			reply.Version, reply.Winner, at, reply.Version)}
	default:
		return &exitError{exitFindings, fmt.Errorf("rejected: %s", reply.Message)}
	}
	if c.Wait <= 0 {
		return nil
	}
	return c.waitUntilInEffect(ctx, reply.Version)
}

// setDefaults sets the base version and the operator if they were not given.
func (c *publishCmd) setDefaults(ctx context.Context) error {
	if c.Operator == "" {
		c.Operator = currentUser()
	}
	if c.Base != nil {
		return nil
	}
	st, err := c.status(ctx)
	if err != nil {
		return err
	}
	c.Base = &st.ConfigVersion
	return nil
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}

func (c *publishCmd) publish(ctx context.Context, cfg *wire.Config) (*wire.PublishReply, error) {
	req := &wire.PublishRequest{
		Protocol:      link.Protocol,
		PublicationId: publicationID(*c.Base, c.Operator, cfg.Digest),
		BaseVersion:   *c.Base,
		Operator:      c.Operator,
		Config:        cfg,
	}
	var reply *wire.PublishReply
	err := c.callLeader(ctx, func(ctx context.Context, cc wire.DRPCControlClient) (err error) {
		reply, err = cc.Publish(ctx, req)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("publish: outcome unknown, retry the command: %w", err)
	}
	return reply, nil
}

// publicationID returns an ID derived from the base version, the operator and the
// content, so that the control group recognizes a retry of the same publication.
func publicationID(base uint64, operator string, digest []byte) []byte {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, base))
	h.Write(digest)
	h.Write([]byte(operator))
	return h.Sum(nil)[:16]
}

// waitUntilInEffect polls the status until all processes in contact with the control
// group have acknowledged version, or c.Wait has passed.
func (c *publishCmd) waitUntilInEffect(ctx context.Context, version uint64) error {
	start := time.Now()
	for {
		st, err := c.status(ctx)
		if err != nil {
			return err
		}
		outdated := outdatedProcesses(st, version)
		if !st.Warm {
			// A new leader has not heard from all processes yet.
			outdated = append(outdated, "processes that the new leader "+st.Leader+" has not heard from yet")
		}
		if len(outdated) == 0 {
			fmt.Printf("in effect at all %d processes after %s\n",
				len(st.Processes), time.Since(start).Round(time.Millisecond))
			return nil
		}
		if time.Since(start) > c.Wait {
			return &exitError{exitNotInEffect, fmt.Errorf("version %d is accepted, but not yet in effect at: %s",
				version, strings.Join(outdated, ", "))}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollPeriod):
		}
	}
}

// outdatedProcesses describes the processes that have an older version.
func outdatedProcesses(st *wire.StatusReply, version uint64) []string {
	var outdated []string
	for _, p := range st.Processes {
		if p.ConfigVersion < version {
			outdated = append(outdated, fmt.Sprintf("%s (version %d, last contact %s ago)",
				p.Name, p.ConfigVersion, (time.Duration(p.AgeMillis)*time.Millisecond).Round(time.Millisecond)))
		}
	}
	return outdated
}
