package main

import (
	"encoding/hex"
	"fmt"

	"bulrushpath.example/lib/config"
	"bulrushpath.example/lib/wire"
)

const checkUsage = `
Reads all files ending in .bulrush.ini below the given paths, validates them
individually and as a whole, and prints every finding with its file and line.
Does not contact any other process.

Exit codes: 0 valid, 1 a file could not be read, 2 findings.`

// fileArgs holds the arguments of commands that read the operators' files.
type fileArgs struct {
	Paths []string `arg:"" name:"path" help:"Files, or directories to search for *.bulrush.ini."`
}

// load finds, reads and validates the operators' files.
func (f fileArgs) load() (*wire.Config, error) {
	found, err := config.Find(f.Paths)
	if err != nil {
		return nil, err
	}
	return config.Load(found)
}

type checkCmd struct{ fileArgs }

// Help returns the detailed help text of the command.
func (checkCmd) Help() string { return checkUsage }

// Run validates the files and prints a summary of their content.
func (c *checkCmd) Run() error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	adapters := 0
	for _, m := range cfg.Models {
		adapters += len(m.Adapters)
	}
	fmt.Printf("valid: %d teams, %d models, %d adapters, %d services, digest %s\n",
		len(cfg.Teams), len(cfg.Models), adapters, len(cfg.Services), hex.EncodeToString(cfg.Digest[:8]))
	return nil
}
