package reducer

import (
	"encoding/hex"
	"slices"
	"strings"

	"github.com/jackdawbridge/jackdawbridge"
)

// The prefixes of entry names, one for each kind of entry.
const (
	keyPrefix        = "key/"
	accountPrefix    = "account/"
	servicePrefix    = "service/"
	slowStartPrefix  = "slowstart/"
	evacuationPrefix = "evacuation/"
)

// index is a copy of the entries in force that the call path looks up. A lookup neither
// builds an entry name nor allocates.
type index struct {
	keys                          map[jackdawbridge.KeyHash]*jackdawbridge.Key
	accounts                      map[jackdawbridge.AccountName]*jackdawbridge.Account
	services                      map[jackdawbridge.ServiceName]*jackdawbridge.Service
	slowStarts                    map[jackdawbridge.ServiceName]*jackdawbridge.SlowStart
	evacuated                     map[jackdawbridge.DataCentre]bool
	accountsRequiringConfirmation int // number of accounts that require confirmed tables
}

func newIndex() index {
	return index{
		keys:       make(map[jackdawbridge.KeyHash]*jackdawbridge.Key),
		accounts:   make(map[jackdawbridge.AccountName]*jackdawbridge.Account),
		services:   make(map[jackdawbridge.ServiceName]*jackdawbridge.Service),
		slowStarts: make(map[jackdawbridge.ServiceName]*jackdawbridge.SlowStart),
		evacuated:  make(map[jackdawbridge.DataCentre]bool),
	}
}

// rebuild replaces all entries of the named table.
func (x *index) rebuild(name jackdawbridge.RecordName, entries []jackdawbridge.Entry) {
	if name == jackdawbridge.KeysTable {
		clear(x.keys)
	} else {
		clear(x.accounts)
		clear(x.services)
		clear(x.slowStarts)
		clear(x.evacuated)
		x.accountsRequiringConfirmation = 0
	}
	x.update(entries)
}

// update applies changed entries. A tombstone removes the entry.
func (x *index) update(entries []jackdawbridge.Entry) {
	for _, e := range entries {
		if rest, ok := strings.CutPrefix(e.Name(), keyPrefix); ok {
			x.updateKey(e, rest)
		} else if rest, ok := strings.CutPrefix(e.Name(), accountPrefix); ok {
			x.updateAccount(e, jackdawbridge.AccountName(rest))
		} else if rest, ok := strings.CutPrefix(e.Name(), servicePrefix); ok {
			delete(x.services, jackdawbridge.ServiceName(rest))
			if s := e.Service(); s != nil {
				x.services[s.Name()] = s
			}
		} else if rest, ok := strings.CutPrefix(e.Name(), slowStartPrefix); ok {
			delete(x.slowStarts, jackdawbridge.ServiceName(rest))
			if s := e.SlowStart(); s != nil {
				x.slowStarts[s.Service()] = s
			}
		} else if rest, ok := strings.CutPrefix(e.Name(), evacuationPrefix); ok {
			delete(x.evacuated, jackdawbridge.DataCentre(rest))
			if dc := e.Evacuated(); dc != "" {
				x.evacuated[dc] = true
			}
		}
	}
}

func (x *index) updateKey(e jackdawbridge.Entry, name string) {
	if k := e.Key(); k != nil {
		x.keys[k.Hash()] = k
		return
	}
	var hash jackdawbridge.KeyHash
	if n, err := hex.Decode(hash[:], []byte(name)); err == nil && n == len(hash) {
		delete(x.keys, hash)
	}
}

func (x *index) updateAccount(e jackdawbridge.Entry, name jackdawbridge.AccountName) {
	if old, ok := x.accounts[name]; ok && !old.ServeUnconfirmed() {
		x.accountsRequiringConfirmation--
	}
	delete(x.accounts, name)
	if a := e.Account(); a != nil {
		x.accounts[name] = a
		if !a.ServeUnconfirmed() {
			x.accountsRequiringConfirmation++
		}
	}
}

// dataCentres returns the data centres that have a share of an account, sorted.
func (x *index) dataCentres() []jackdawbridge.DataCentre {
	var list []jackdawbridge.DataCentre
	for _, a := range x.accounts {
		for _, s := range a.Shares() {
			if !slices.Contains(list, s.DataCentre()) {
				list = append(list, s.DataCentre())
			}
		}
	}
	slices.Sort(list)
	return list
}
