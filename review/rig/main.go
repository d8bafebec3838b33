// Command rig runs one case of the review: it starts the project's programs as processes on
// loopback addresses, with stand-ins for replicas, clients, the operator and the platform, and
// checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// runLimit is the longest time that a case may take.
	runLimit = 115 * time.Second
)

// scenario is the course of one case. It returns whether the rule was broken; trouble is false
// if the case is to run without its disruption.
type scenario func(r *rig, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"lateBeats":   lateBeats,
	"darkCrashes": darkCrashes,
	"rolling":     rolling,
	"lateFirst":   lateFirst,
}

var errInterrupted = errors.New("interrupted or out of time")

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO REPOSITORY RECORD")
		return exitFailed
	}
	course, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown scenario %q\n", os.Args[1])
		return exitFailed
	}
	r, err := newRig(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("scenario %s, with its disruption: %v", os.Args[1], trouble)
	go func() {
		broken, err := course(r, trouble)
		done <- outcome{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	var out outcome
	select {
	case out = <-done:
	case <-interrupted:
		out.err = errInterrupted
	case <-time.After(runLimit):
		out.err = errInterrupted
	}
	switch {
	case out.err != nil:
		r.logf("the case could not run: %v", out.err)
		return exitFailed
	case out.broken:
		r.logf("RULE BROKEN")
		return exitBroken
	}
	r.logf("rule held")
	return exitHeld
}
