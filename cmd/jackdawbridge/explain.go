package main

import (
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge/trace"
)

// explainCommand prints the way of a request.
type explainCommand struct {
	Request string   `arg:"" help:"Id of the request."`
	Logs    []string `arg:"" optional:"" help:"Logs of the nodes; standard input if none is named."`
}

// Run reads the logs and prints the way of the request over all nodes.
func (c *explainCommand) Run() error {
	found := trace.New(c.Request)
	if len(c.Logs) == 0 {
		if err := found.Read(os.Stdin); err != nil {
			return errors.Errorf("standard input: %w", err)
		}
	}
	for _, path := range c.Logs {
		if err := c.read(found, path); err != nil {
			return err
		}
	}
	return c.report(found, os.Stdout)
}

func (c *explainCommand) read(found *trace.Trace, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Errorf("log: %w", err)
	}
	defer file.Close() //nolint:errcheck // only read
	if err := found.Read(file); err != nil {
		return errors.Errorf("%s: %w", path, err)
	}
	return nil
}

func (c *explainCommand) report(found *trace.Trace, w io.Writer) error {
	if err := found.Report(w); err != nil {
		return err
	}
	if found.Unreadable() > 0 {
		fmt.Fprintf(os.Stderr, "%d lines are not of this program's log in JSON\n", found.Unreadable())
	}
	if !found.Found() {
		return errors.Errorf("request %s is not in the logs", c.Request)
	}
	return nil
}
