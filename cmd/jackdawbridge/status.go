package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// maxPageBytes bounds how much of a node's page is read.
const maxPageBytes = 64 << 10

// statusCommand prints the status page of a node.
type statusCommand struct {
	Admin string `required:"" help:"Address of the node's admin listener, IP:PORT."`
}

// Run fetches the status page and prints it as indented JSON.
func (c *statusCommand) Run() error {
	if _, err := parseAddrPort("admin", c.Admin); err != nil {
		return err
	}
	body, err := fetchPage(context.Background(), c.Admin, "/status")
	if err != nil {
		return err
	}
	var page any
	if err := json.Unmarshal(body, &page); err != nil {
		return errors.Errorf("decode status of %s: %w", c.Admin, err)
	}
	text, err := formatJSON(page)
	if err != nil {
		return err
	}
	fmt.Print(text)
	return nil
}

// fetchPage returns a page that a node serves over HTTP. It truncates pages larger
// than maxPageBytes.
func fetchPage(ctx context.Context, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Errorf("get page of %s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Errorf("get page of %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("get page of %s: status %s", address, response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return nil, errors.Errorf("get page of %s: %w", address, err)
	}
	return body, nil
}
