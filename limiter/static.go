// Package limiter limits how many requests a backend server runs at the same time.
package limiter

import "github.com/jackdawbridge/jackdawbridge"

// Static allows as many runs as there are slots, or a fixed percentage of them.
type Static struct {
	slots   int // at least 1
	percent int // percentage of the slots that may be used, from 1 to 100
}

// NewStatic returns a limiter that uses all slots.
func NewStatic(slots int) *Static { return NewStaticPercent(slots, 100) }

// NewStaticPercent returns a limiter that uses a percentage of the slots. Some backend
// servers slow down when nearly all slots are in use.
func NewStaticPercent(slots, percent int) *Static {
	return &Static{slots: max(slots, 1), percent: min(max(percent, 1), 100)}
}

// Limit returns how many of the slots may be used, at least 1.
func (s *Static) Limit() int { return max(s.slots*s.percent/100, 1) }

// Observe does nothing: the limit does not depend on the runs.
func (s *Static) Observe(jackdawbridge.Millis, jackdawbridge.Sample) {}

// Resize changes the number of slots.
func (s *Static) Resize(slots int) { s.slots = max(slots, 1) }
