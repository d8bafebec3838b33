// Command bulrushpath is the command-line client for operators. It validates the
// operators' files, publishes them as one configuration and shows the state of the
// system. No subcommand acts on a single instance.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"bulrushpath.example/lib/check"
)

// Exit codes.
const (
	exitFailed      = 1
	exitFindings    = 2
	exitConflict    = 3
	exitNotInEffect = 4
)

// commands defines the subcommands, each of which has its own file.
type commands struct {
	Check   checkCmd   `cmd:"" help:"Validate the operators' files and report all findings."`
	Collect collectCmd `cmd:"" help:"Print the configuration compiled from the files."`
	Publish publishCmd `cmd:"" help:"Publish the files as the next version and wait until it is in effect."`
	Status  statusCmd  `cmd:"" help:"Show the control group, the current version, the processes and the targets."`
	Clear   clearCmd   `cmd:"" help:"Lift the verdict on a request or a part of prompts with which targets were lost."`
	Explain explainCmd `cmd:"" help:"Explain the state of a model, a service or a target."`
}

func main() {
	var c commands
	k := kong.Parse(&c,
		kong.Name("bulrushpath"),
		kong.Description("Validates and publishes the files that declare which models, adapters and versions "+
			"must be reachable and how much of its capacity each team lends."),
		kong.UsageOnError(),
	)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	k.BindTo(ctx, (*context.Context)(nil))
	err := k.Run()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// exitError is an error with the exit code of the command.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func exitCode(err error) int {
	var findings *check.Error
	var exit *exitError
	switch {
	case errors.As(err, &findings):
		return exitFindings
	case errors.As(err, &exit):
		return exit.code
	}
	return exitFailed
}
