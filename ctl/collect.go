package main

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/encoding/protojson"
)

const collectUsage = `
Prints the configuration compiled from the files as JSON with camelCase keys, for
review or comparison before publishing. Does not contact any other process.

Exit codes: 0 valid, 1 a file could not be read or written, 2 findings.`

type collectCmd struct {
	fileArgs
	Output string `short:"o" placeholder:"FILE" help:"Write to FILE instead of standard output."`
}

// Help returns the detailed help text of the command.
func (collectCmd) Help() string { return collectUsage }

// Run prints the compiled configuration as JSON, or writes it to a file.
func (c *collectCmd) Run() error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	data, err := protojson.MarshalOptions{Multiline: true, Indent: "  "}.Marshal(cfg)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	data = append(data, '\n')
	if c.Output == "" {
		_, err = os.Stdout.Write(data)
		return err
	}
	if err := os.WriteFile(c.Output, data, 0o644); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	return nil
}
