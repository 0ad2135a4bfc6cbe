package main

import (
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge/trace"
)

// explainCommand prints the path of a request through the nodes.
type explainCommand struct {
	Request string   `arg:"" help:"Id of the request."`
	Logs    []string `arg:"" optional:"" help:"Log files of the nodes. Without any, standard input is read."`
}

// Run reads the logs and prints what all nodes have logged about the request.
func (c *explainCommand) Run() error {
	requestTrace := trace.New(c.Request)
	if len(c.Logs) == 0 {
		if err := requestTrace.Read(os.Stdin); err != nil {
			return errors.Errorf("standard input: %w", err)
		}
	}
	for _, path := range c.Logs {
		if err := c.read(requestTrace, path); err != nil {
			return err
		}
	}
	return c.report(requestTrace, os.Stdout)
}

func (c *explainCommand) read(requestTrace *trace.Trace, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Errorf("open log: %w", err)
	}
	defer file.Close() //nolint:errcheck // opened only for reading
	if err := requestTrace.Read(file); err != nil {
		return errors.Errorf("%s: %w", path, err)
	}
	return nil
}

func (c *explainCommand) report(requestTrace *trace.Trace, w io.Writer) error {
	if err := requestTrace.Report(w); err != nil {
		return err
	}
	if requestTrace.Unreadable() > 0 {
		fmt.Fprintf(os.Stderr, "%d lines skipped: not JSON log lines of jackdawbridge\n", requestTrace.Unreadable())
	}
	if !requestTrace.Found() {
		return errors.Errorf("request %s is not in the logs", c.Request)
	}
	return nil
}
