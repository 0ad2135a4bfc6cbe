package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"
)

// statusCommand prints the status of a node.
type statusCommand struct {
	Admin string `required:"" help:"Address of the node's admin listener, IP:PORT."`
}

// Run prints the status page.
func (c *statusCommand) Run() error {
	if _, err := addrPort("admin", c.Admin); err != nil {
		return err
	}
	body, err := ask(context.Background(), c.Admin, "/status")
	if err != nil {
		return err
	}
	var page any
	if err := json.Unmarshal(body, &page); err != nil {
		return errors.Errorf("answer of %s: %w", c.Admin, err)
	}
	text, err := printJSON(page)
	if err != nil {
		return err
	}
	fmt.Print(text)
	return nil
}
