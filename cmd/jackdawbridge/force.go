package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/rpc"
)

const (
	// askTimeout bounds one question to a node.
	askTimeout = 2 * time.Second
	// askPause is the time between two questions to a node that is behind.
	askPause = 200 * time.Millisecond
)

// askFlags are the flags of commands that report whether a change is in force.
type askFlags struct {
	Ask  []string      `help:"Node to ask whether the change is in force, as DATACENTRE=IP:PORT of its listener for large messages. Repeat for each."`
	Wait time.Duration `default:"10s" help:"Time to wait for the change to be in force."`
}

// asked is a node to ask.
type asked struct {
	dataCentre string
	address    netip.AddrPort
}

// nodes reads the nodes to ask.
func (f askFlags) nodes() ([]asked, error) {
	if f.Wait < 0 || f.Wait > time.Hour {
		return nil, flagError("wait", f.Wait.String(), "0s to 1h")
	}
	var nodes []asked
	for _, text := range f.Ask {
		dc, address, ok := strings.Cut(text, "=")
		if !ok || dc == "" {
			return nil, flagError("ask", text, "DATACENTRE=IP:PORT")
		}
		at, err := addrPort("ask", address)
		if err != nil {
			return nil, flagError("ask", text, "DATACENTRE=IP:PORT")
		}
		nodes = append(nodes, asked{dc, at})
	}
	return nodes, nil
}

// finding is what a node that was asked has told.
type finding struct {
	inForce bool
	text    string
}

// reportForce asks each node until it has the revision or the time is over, and
// writes a line for each data centre. It fails if the revision is not known to
// be in force at a node that was asked.
func reportForce(ctx context.Context, w io.Writer, f askFlags, name jackdawbridge.RecordName, revision uint64) error {
	nodes, err := f.nodes()
	if err != nil {
		return err
	}
	if len(nodes) == 0 {
		_, err := fmt.Fprintf(w, "revision %d of %s is stored; no node was asked whether it is in force (see --ask)\n", revision, name)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.Wait)
	defer cancel()
	findings := make([]chan finding, len(nodes))
	for i, n := range nodes {
		findings[i] = make(chan finding, 1)
		go func() { findings[i] <- n.await(ctx, name, revision) }()
	}
	byCentre := make(map[string][]finding)
	for i, n := range nodes {
		byCentre[n.dataCentre] = append(byCentre[n.dataCentre], <-findings[i])
	}
	missing := 0
	for _, dc := range slices.Sorted(maps.Keys(byCentre)) {
		missing += writeFindings(w, dc, name, revision, byCentre[dc])
	}
	if missing > 0 {
		return errors.Errorf("revision %d of %s is stored, but not known to be in force at %d of %d nodes", revision, name, missing, len(nodes))
	}
	return nil
}

func writeFindings(w io.Writer, dc string, name jackdawbridge.RecordName, revision uint64, found []finding) int {
	var behind []string
	for _, f := range found {
		if !f.inForce {
			behind = append(behind, f.text)
		}
	}
	if len(behind) == 0 {
		_, _ = fmt.Fprintf(w, "data centre %s: revision %d of %s in force at %d of %d nodes asked\n", dc, revision, name, len(found), len(found))
		return 0
	}
	_, _ = fmt.Fprintf(w, "data centre %s: revision %d of %s NOT known to be in force: %s\n", dc, revision, name, strings.Join(behind, "; "))
	return len(behind)
}

// await asks a node until it has a revision.
func (a asked) await(ctx context.Context, name jackdawbridge.RecordName, revision uint64) finding {
	last := finding{text: a.address.String() + " was not asked in time"}
	for {
		r, err := a.ask(ctx)
		switch {
		case err != nil && ctx.Err() != nil && last.text != "":
			return last
		case err != nil:
			last = finding{text: a.address.String() + " cannot be reached: " + err.Error()}
		case string(r.DataCentre()) != a.dataCentre:
			return finding{text: fmt.Sprintf("%s belongs to data centre %s", a.address, r.DataCentre())}
		case r.Revision(name) >= revision:
			return finding{inForce: true}
		default:
			last = finding{text: fmt.Sprintf("%s at %s has revision %d", r.Instance(), a.address, r.Revision(name))}
		}
		if !pause(ctx, askPause) {
			return last
		}
	}
}

// ask asks the node for the revisions that it has in force.
func (a asked) ask(ctx context.Context) (rpc.Revisions, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return rpc.QueryRevisions(ctx, a.address)
}
