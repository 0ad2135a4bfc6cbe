package audit

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/jackdawbridge/jackdawbridge"
)

// Difference is an entry that differs between the table in force and wanted entries.
type Difference struct {
	before jackdawbridge.Entry // a tombstone if the entry is added
	after  jackdawbridge.Entry // a tombstone if the entry is removed
}

// Before returns the entry in force, a tombstone if there is none.
func (d Difference) Before() jackdawbridge.Entry { return d.before }

// After returns the wanted entry, a tombstone if the entry is to be removed.
func (d Difference) After() jackdawbridge.Entry { return d.after }

// Compare returns how the wanted entries differ from those of the table in force. Revisions
// are ignored.
func Compare(inForce *jackdawbridge.Table, wanted []jackdawbridge.Entry) []Difference {
	var differences []Difference
	names := make(map[string]bool, len(wanted))
	for _, e := range wanted {
		names[e.Name()] = true
		old, ok := inForce.Entry(e.Name())
		if !ok {
			old = jackdawbridge.Tombstone(e.Name())
		}
		if !ok || !reflect.DeepEqual(old.WithRevision(0), e.WithRevision(0)) {
			differences = append(differences, Difference{before: old, after: e})
		}
	}
	for _, old := range inForce.Entries() {
		if !names[old.Name()] && !old.Removed() {
			differences = append(differences, Difference{before: old, after: jackdawbridge.Tombstone(old.Name())})
		}
	}
	return differences
}

// Finding returns d as a note.
func (d Difference) Finding() Finding {
	text := "changed"
	switch {
	case d.before.Removed():
		text = "added"
	case d.after.Removed():
		text = "removed"
	case d.before.Account() != nil && d.after.Account() != nil:
		text += accountChanges(d.before.Account(), d.after.Account())
	case d.before.Service() != nil && d.after.Service() != nil:
		text += routeChanges(d.before.Service().Routes(), d.after.Service().Routes())
	}
	return NewFinding(Note, d.after.Name(), text)
}

// accountChanges returns the fields of an account that differ.
func accountChanges(before, after *jackdawbridge.Account) string {
	var b strings.Builder
	for _, field := range []struct {
		name          string
		before, after any
	}{
		{"rate", before.Rate(), after.Rate()},
		{"burst", before.Burst(), after.Burst()},
		{"paid priority", before.PaidPriority(), after.PaidPriority()},
		{"served unconfirmed", before.ServeUnconfirmed(), after.ServeUnconfirmed()},
		{"unlimited", before.Unlimited(), after.Unlimited()},
		{"shares", before.Shares(), after.Shares()},
	} {
		if !reflect.DeepEqual(field.before, field.after) {
			_, _ = fmt.Fprintf(&b, ", %s from %v to %v", field.name, field.before, field.after)
		}
	}
	return b.String()
}

// routeChanges returns the routes of a service that differ.
func routeChanges(before, after []*jackdawbridge.Route) string {
	var b strings.Builder
	old := make(map[string]*jackdawbridge.Route, len(before))
	for _, r := range before {
		old[describe(r)] = r
	}
	for _, r := range after {
		name := describe(r)
		o, ok := old[name]
		delete(old, name)
		if !ok {
			b.WriteString(", route " + name + " added")
		} else if !reflect.DeepEqual(o, r) {
			b.WriteString(", route " + name + " changed")
		}
	}
	for _, r := range before {
		if _, ok := old[describe(r)]; ok {
			b.WriteString(", route " + describe(r) + " removed")
		}
	}
	return b.String()
}

// describe returns the methods and the prefix of a route.
func describe(r *jackdawbridge.Route) string {
	if len(r.Methods()) == 0 {
		return r.Prefix()
	}
	return strings.Join(r.Methods(), ",") + " " + r.Prefix()
}
