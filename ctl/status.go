package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"bulrushpath.example/lib/wire"
)

const statusUsage = `
Shows the control group, the current version and who published it, the version
of each process, the targets with their resident artifacts, and the suspected or
blocked requests.

Exit codes: 0 shown, 1 control group unreachable, 4 a process has an older version.`

type statusCmd struct {
	controlFlags
	JSON bool `name:"json" help:"Print the complete status as JSON."`
}

// Help returns the detailed help text of the command.
func (statusCmd) Help() string { return statusUsage }

// Run prints the status.
func (c *statusCmd) Run(ctx context.Context) error {
	st, err := c.status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		data, err := protojson.MarshalOptions{Multiline: true, Indent: "  "}.Marshal(st)
		if err != nil {
			return fmt.Errorf("encode status: %w", err)
		}
		fmt.Println(string(data))
	} else {
		printStatus(os.Stdout, st)
	}
	if outdated := outdatedProcesses(st, st.ConfigVersion); len(outdated) > 0 {
		return &exitError{exitNotInEffect, fmt.Errorf("version %d is not in effect at: %s",
			st.ConfigVersion, strings.Join(outdated, ", "))}
	}
	return nil
}

func printStatus(out io.Writer, st *wire.StatusReply) {
	published := "never"
	if st.PublishedUnixMillis > 0 {
		published = time.UnixMilli(st.PublishedUnixMillis).UTC().Format(time.RFC3339)
	}
	fmt.Fprintf(out, "leader %s, term %d; version %d, published by %s at %s; %d claims kept\n\n",
		st.Leader, st.Term, st.ConfigVersion, orNone(st.Operator), published, st.Claims)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CONTROL\tADDRESS\tVOTER\tLEADER\tREACHABLE\tLOG INDEX")
	for _, m := range st.Members {
		fmt.Fprintf(w, "%s\t%s\t%t\t%t\t%t\t%d\n", m.Id, m.Address, m.Voter, m.Leader, m.Reachable, m.MatchIndex)
	}
	fmt.Fprintln(w, "\nPROCESS\tROLE\tZONE\tVERSION\tLAST HEARD")
	for _, p := range st.Processes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", p.Name, wire.Label(p.Role), p.Zone, p.ConfigVersion,
			time.Duration(p.AgeMillis)*time.Millisecond)
	}
	fmt.Fprintln(w, "\nTARGET\tKIND\tTEAM\tZONE\tPHASE\tRUNNING\tQUEUED\tMEMORY\tRESIDENT")
	for _, a := range st.Targets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", a.Target, wire.Label(a.Kind), a.Team, a.Zone,
			wire.Label(a.Phase), a.GetLoad().GetRunning(), a.GetLoad().GetQueued(), memoryUse(a), residentNames(a))
	}
	_ = w.Flush()
	for _, s := range st.Suspects {
		kind := "request"
		if s.Part {
			kind = "part of prompts"
		}
		fmt.Fprintf(out, "\n%s %x: %s until %s", kind, s.Fingerprint, wire.Label(s.Verdict),
			time.UnixMilli(s.UntilUnixMillis).UTC().Format(time.RFC3339))
	}
}

func memoryUse(a *wire.Announcement) string {
	if a.MemoryBytes == 0 {
		return "-"
	}
	var used uint64
	for _, c := range a.Resident {
		used += c.Bytes
	}
	return fmt.Sprintf("%.1f/%.1fGiB", gib(used), gib(a.MemoryBytes))
}

func gib(n uint64) float64 { return float64(n) / (1 << 30) }

func residentNames(a *wire.Announcement) string {
	if a.Kind == wire.TargetKind_TARGET_KIND_PLAIN {
		return "service " + a.Service
	}
	var names []string
	for _, c := range a.Resident {
		names = append(names, copyName(c))
	}
	return orNone(strings.Join(names, " "))
}

func copyName(c *wire.Copy) string {
	name := c.Model + "@" + c.Version
	if c.Adapter != "" {
		name += "/" + c.Adapter
	}
	return name
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
