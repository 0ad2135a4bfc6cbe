// Package audit inspects the entries of a configuration before they are stored, and compares
// them with those in force.
package audit

import (
	"fmt"
	"slices"

	"github.com/jackdawbridge/jackdawbridge"
	"github.com/jackdawbridge/jackdawbridge/reducer"
)

// Severity ranks findings.
type Severity uint8

// The severities.
const (
	Note    Severity = iota // a difference from what is in force
	Warning                 // accepted, but probably not what was meant
	Error                   // not accepted
)

// String returns the severity in lower case.
func (s Severity) String() string { return [...]string{"note", "warning", "error"}[s] }

// Finding is one result of an inspection or comparison.
type Finding struct {
	severity Severity // at most Error
	entry    string   // name of the entry, or path of the field in a file
	text     string
}

// NewFinding returns a finding.
func NewFinding(severity Severity, entry, text string) Finding {
	return Finding{severity: severity, entry: entry, text: text}
}

// Severity returns the severity of f.
func (f Finding) Severity() Severity { return f.severity }

// Entry returns the name of the entry that f is about.
func (f Finding) Entry() string { return f.entry }

// Text returns what was found.
func (f Finding) Text() string { return f.text }

// String returns f as one line of text.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.severity, f.entry, f.text) }

// findings collects findings.
type findings []Finding

func (f *findings) warn(entry, format string, args ...any) {
	*f = append(*f, NewFinding(Warning, entry, fmt.Sprintf(format, args...)))
}

// Inspect returns errors for entries of the config table that nodes would not use, and warnings
// about those that can never match or whose limits contradict each other.
func Inspect(config []jackdawbridge.Entry) []Finding {
	var found findings
	for _, e := range config {
		if err := e.Check(); err != nil {
			found = append(found, NewFinding(Error, e.Name(), "nodes would not use the entry: "+err.Error()))
		}
	}
	services, keyed := false, false
	for _, e := range config {
		if s := e.Service(); s != nil {
			services = true
			keyed = keyed || slices.ContainsFunc(s.Routes(), func(r *jackdawbridge.Route) bool { return !r.Open() })
			found.inspectRoutes(e.Name(), s.Routes())
		}
	}
	for _, e := range config {
		if a := e.Account(); a != nil {
			found.inspectLimits(e.Name(), a)
			if services && !keyed {
				found.warn(e.Name(), "no route can use the account: all routes are open")
			}
		}
	}
	return found
}

// InspectKeys returns warnings about keys of accounts that the config table does not have,
// and about accounts without a key.
func InspectKeys(config, keys []jackdawbridge.Entry) []Finding {
	var found findings
	known := make(map[jackdawbridge.AccountName]bool)  // accounts of the config table
	usable := make(map[jackdawbridge.AccountName]bool) // accounts with a key
	for _, e := range config {
		if a := e.Account(); a != nil {
			known[a.Name()] = true
		}
	}
	for _, e := range keys {
		k := e.Key()
		if k == nil {
			continue
		}
		usable[k.Account()] = true
		if !known[k.Account()] {
			found.warn(e.Name(), "no route can use the key: account %s is not configured", k.Account())
		}
	}
	for _, e := range config {
		if a := e.Account(); a != nil && !usable[a.Name()] {
			found.warn(e.Name(), "the account has no key")
		}
	}
	return found
}

// inspectRoutes inspects the routes of one service.
func (f *findings) inspectRoutes(entry string, routes []*jackdawbridge.Route) {
	for i, r := range routes {
		if covered(r, routes[:i]) {
			f.warn(entry, "route %s can never match: earlier routes cover its prefix and methods", describe(r))
		}
		if r.Timeout() > 0 && r.Timeout() < r.Objective() {
			f.warn(entry, "route %s has a timeout of %d ms, below its objective of %d ms", describe(r), r.Timeout(), r.Objective())
		}
	}
}

// covered reports whether earlier routes of the service match all that r matches. A route
// with another prefix does not cover r: the longest prefix applies, and the path that equals
// the prefix of r matches no longer one.
func covered(r *jackdawbridge.Route, earlier []*jackdawbridge.Route) bool {
	var methods []string
	for _, o := range earlier {
		if o.Prefix() != r.Prefix() {
			continue
		}
		if len(o.Methods()) == 0 {
			return true
		}
		methods = append(methods, o.Methods()...)
	}
	return len(r.Methods()) > 0 && !slices.ContainsFunc(r.Methods(), func(m string) bool { return !slices.Contains(methods, m) })
}

// inspectLimits inspects the rate, burst and shares of an account.
func (f *findings) inspectLimits(entry string, a *jackdawbridge.Account) {
	if a.Unlimited() {
		return
	}
	if a.Burst() < a.Rate() {
		f.warn(entry, "burst %d is below what the account may use in a second: rate %d", a.Burst(), a.Rate())
	}
	for _, dc := range reducer.WithoutShare(a) {
		f.warn(entry, "burst %d cannot be divided among %d data centres: %s gets no share and borrows each token", a.Burst(), len(a.Shares()), dc)
	}
}
