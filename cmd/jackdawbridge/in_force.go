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
	// queryTimeout is the timeout of one query to a node.
	queryTimeout = 2 * time.Second
	// queryPause is the pause between two queries to a node that does not have the
	// revision yet.
	queryPause = 200 * time.Millisecond
)

// queryFlags are the flags shared by commands that report at which nodes a change
// is in force.
type queryFlags struct {
	Ask  []string      `help:"Node to query whether the change is in force, as DATACENTRE=IP:PORT, with the address of the node's flag --rpc. Repeat the flag for each node."`
	Wait time.Duration `default:"10s" help:"How long to wait until the change is in force at the queried nodes."`
}

// queriedNode is a node named by --ask.
type queriedNode struct {
	dataCentre string
	address    netip.AddrPort
}

// nodes parses the flags and returns the nodes to query.
func (f queryFlags) nodes() ([]queriedNode, error) {
	if f.Wait < 0 || f.Wait > time.Hour {
		return nil, flagError("wait", f.Wait.String(), "0s to 1h")
	}
	var nodes []queriedNode
	for _, text := range f.Ask {
		dc, address, ok := strings.Cut(text, "=")
		if !ok || dc == "" {
			return nil, flagError("ask", text, "DATACENTRE=IP:PORT")
		}
		parsed, err := parseAddrPort("ask", address)
		if err != nil {
			return nil, flagError("ask", text, "DATACENTRE=IP:PORT")
		}
		nodes = append(nodes, queriedNode{dc, parsed})
	}
	return nodes, nil
}

// queryResult is the final result of the queries to one node.
type queryResult struct {
	inForce bool
	problem string // why the revision is not known to be in force; empty if it is
}

// reportInForce queries each node until the node has the revision or --wait has
// passed, and writes one line for each data centre. It returns an error if the
// revision is not known to be in force at all of the queried nodes.
func reportInForce(ctx context.Context, w io.Writer, f queryFlags, name jackdawbridge.RecordName, revision uint64) error {
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
	results := make([]chan queryResult, len(nodes))
	for i, n := range nodes {
		results[i] = make(chan queryResult, 1)
		go func() { results[i] <- n.awaitRevision(ctx, name, revision) }()
	}
	byCentre := make(map[string][]queryResult)
	for i, n := range nodes {
		byCentre[n.dataCentre] = append(byCentre[n.dataCentre], <-results[i])
	}
	missing := 0
	for _, dc := range slices.Sorted(maps.Keys(byCentre)) {
		missing += writeResults(w, dc, name, revision, byCentre[dc])
	}
	if missing > 0 {
		return errors.Errorf("revision %d of %s is stored, but not known to be in force at %d of %d nodes", revision, name, missing, len(nodes))
	}
	return nil
}

// writeResults writes the results of one data centre as a line and returns the number
// of nodes at which the revision is not known to be in force.
func writeResults(w io.Writer, dc string, name jackdawbridge.RecordName, revision uint64, results []queryResult) int {
	var problems []string
	for _, r := range results {
		if !r.inForce {
			problems = append(problems, r.problem)
		}
	}
	if len(problems) == 0 {
		_, _ = fmt.Fprintf(w, "data centre %s: revision %d of %s in force at %d of %d nodes asked\n", dc, revision, name, len(results), len(results))
		return 0
	}
	_, _ = fmt.Fprintf(w, "data centre %s: revision %d of %s NOT known to be in force: %s\n", dc, revision, name, strings.Join(problems, "; "))
	return len(problems)
}

// awaitRevision queries the node until it has the given revision of a table or
// until the context ends.
func (n queriedNode) awaitRevision(ctx context.Context, name jackdawbridge.RecordName, revision uint64) queryResult {
	latest := queryResult{problem: n.address.String() + " did not answer in time"}
	for {
		r, err := n.query(ctx)
		switch {
		case err != nil && ctx.Err() != nil && latest.problem != "":
			return latest
		case err != nil:
			latest = queryResult{problem: n.address.String() + " cannot be reached: " + err.Error()}
		case string(r.DataCentre()) != n.dataCentre:
			return queryResult{problem: fmt.Sprintf("%s belongs to data centre %s", n.address, r.DataCentre())}
		case r.Revision(name) >= revision:
			return queryResult{inForce: true}
		default:
			latest = queryResult{problem: fmt.Sprintf("%s at %s has revision %d", r.Instance(), n.address, r.Revision(name))}
		}
		if !sleep(ctx, queryPause) {
			return latest
		}
	}
}

// query returns the revisions that the node has in force.
func (n queriedNode) query(ctx context.Context) (rpc.Revisions, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return rpc.QueryRevisions(ctx, n.address)
}
