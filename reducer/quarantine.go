package reducer

import "github.com/jackdawbridge/jackdawbridge"

// verdict tells how a request is treated that may crash backend servers.
type verdict uint8

const (
	verdictRun    verdict = iota // nothing is held against it
	verdictAlone                 // was in flight at one crash, runs alone
	verdictRefuse                // was in flight at two crashes
)

// quarantine is the part that keeps requests away that crash backend servers.
type quarantine struct{ r *Reducer }

func newQuarantine(r *Reducer) quarantine { return quarantine{r: r} }

// check returns how a request is treated.
func (p *quarantine) check(jackdawbridge.Fingerprint) verdict { return verdictRun }

// crashed takes note of what was in flight when the own backend server crashed.
func (p *quarantine) crashed([]jackdawbridge.Fingerprint) {}

// crash takes note of a crash that a peer reports.
func (p *quarantine) crash(jackdawbridge.Peer, *jackdawbridge.Crash) {}

func (p *quarantine) wake() jackdawbridge.Millis { return never }

func (p *quarantine) tick() {}
