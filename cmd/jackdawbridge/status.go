package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// maxStatus bounds the status page of a node in bytes.
const maxStatus = 64 << 10

// statusCommand prints the status of a node.
type statusCommand struct {
	Admin string `required:"" help:"Address of the node's admin listener, IP:PORT."`
}

// Run prints the status page.
func (c *statusCommand) Run() error {
	if _, err := addrPort("admin", c.Admin); err != nil {
		return err
	}
	body, err := readPage(context.Background(), c.Admin, "/status")
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

// readPage reads a page of a node.
func readPage(ctx context.Context, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Errorf("ask %s: %w", address, err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Errorf("ask %s: %w", address, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Errorf("ask %s: %s", address, answer.Status)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxStatus))
	if err != nil {
		return nil, errors.Errorf("ask %s: %w", address, err)
	}
	return body, nil
}
