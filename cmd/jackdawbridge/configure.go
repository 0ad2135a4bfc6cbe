package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/questionnaire"
)

// platformFlags are the flags shared by commands that use the platform's service.
type platformFlags struct {
	Platform string `required:"" help:"Address of the platform's key-value service, IP:PORT."`
}

// compileCommand prints the configuration entries that a questionnaire yields.
type compileCommand struct {
	File string `arg:"" help:"Questionnaire file, or - for standard input."`
}

// Run prints one line for each client account, service and route.
func (c *compileCommand) Run() error {
	q, err := readQuestionnaire(c.File)
	if err != nil {
		return err
	}
	writeEntries(os.Stdout, q.Entries())
	return nil
}

// applyCommand replaces the stored configuration with that of a questionnaire.
type applyCommand struct {
	platformFlags
	queryFlags
	File string `arg:"" help:"Questionnaire file, or - for standard input."`
}

// Run stores the configuration and reports at which nodes it is in force.
func (c *applyCommand) Run() error {
	q, err := readQuestionnaire(c.File)
	if err != nil {
		return err
	}
	if _, err := c.nodes(); err != nil {
		return err
	}
	store, err := openStore(c.Platform)
	if err != nil {
		return err
	}
	ctx := context.Background()
	apply := newChange(store, jackdawbridge.ConfigTable, replaceWith(q.Entries())).asReplacement()
	return apply.commitAndReport(ctx, os.Stdout, c.queryFlags)
}

// commitAndReport commits a change and writes its revision and the nodes at which
// it is in force.
func (c *change) commitAndReport(ctx context.Context, w io.Writer, f queryFlags) error {
	revision, changed, err := c.commit(ctx)
	if err != nil {
		return err
	}
	if changed {
		_, err = fmt.Fprintf(w, "revision %d of %s stored by change %s\n", revision, c.name, c.id)
	} else {
		_, err = fmt.Fprintf(w, "revision %d of %s already has the wanted content; nothing was stored\n", revision, c.name)
	}
	if err != nil {
		return err
	}
	return reportInForce(ctx, w, f, c.name, revision)
}

// showCommand prints the configuration that the platform's service stores.
type showCommand struct {
	platformFlags
}

// Run prints the revision of the configuration and its entries.
func (c *showCommand) Run() error {
	table, err := loadTable(c.Platform, jackdawbridge.ConfigTable)
	if err != nil {
		return err
	}
	fmt.Printf("revision %d by change %s\n", table.Revision(), table.Change())
	writeEntries(os.Stdout, table.Entries())
	return nil
}

func loadTable(platform string, name jackdawbridge.RecordName) (*jackdawbridge.Table, error) {
	store, err := openStore(platform)
	if err != nil {
		return nil, err
	}
	record, err := loadRecord(context.Background(), store, name)
	if err != nil {
		return nil, err
	}
	return tableFromRecord(record)
}

func readQuestionnaire(file string) (*questionnaire.Questionnaire, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, errors.Errorf("read questionnaire: %w", err)
	}
	q, err := questionnaire.Read(data)
	if err != nil {
		return nil, errors.Errorf("questionnaire %s rejected, nothing was changed:\n%w", file, err)
	}
	return q, nil
}

// writeEntries writes one line for each client account, service and route.
func writeEntries(w io.Writer, entries []jackdawbridge.Entry) {
	for _, e := range entries {
		switch {
		case e.Removed():
		case e.Account() != nil:
			writeAccount(w, e.Account())
		case e.Service() != nil:
			_, _ = fmt.Fprintf(w, "service %s\n", e.Service().Name())
			for _, r := range e.Service().Routes() {
				writeRoute(w, r)
			}
		}
	}
}

func writeAccount(w io.Writer, a *jackdawbridge.Account) {
	unconfirmed := "refuse"
	if a.ServeUnconfirmed() {
		unconfirmed = "serve"
	}
	shares := make([]string, 0, len(a.Shares()))
	for _, s := range a.Shares() {
		shares = append(shares, fmt.Sprintf("%s:%d", s.DataCentre(), s.Permille()))
	}
	_, _ = fmt.Fprintf(w, "account %s rate=%d burst=%d bought=%t unconfirmed=%s shares=%s\n",
		a.Name(), a.Rate(), a.Burst(), a.PaidPriority(), unconfirmed, strings.Join(shares, ","))
}

func writeRoute(w io.Writer, r *jackdawbridge.Route) {
	methods := "all"
	if len(r.Methods()) > 0 {
		methods = strings.Join(r.Methods(), ",")
	}
	_, _ = fmt.Fprintf(w, "  %s %s criticality=%s idempotent=%t open=%t\n", methods, r.Prefix(), r.Criticality(), r.Idempotent(), r.Open())
}
