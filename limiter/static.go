// Package limiter adapts how many requests a backend server runs at once.
package limiter

import "github.com/jackdawbridge/jackdawbridge"

// Static admits as many runs as there are slots, or a fixed part of them.
type Static struct {
	slots   int // at least 1
	percent int // of the slots that are used, from 1 to 100
}

// NewStatic returns a limiter with a fixed limit.
func NewStatic(slots int) *Static { return NewPart(slots, 100) }

// NewPart returns a limiter that uses a part of the slots, in percent. Some
// backend servers slow down when they are nearly full.
func NewPart(slots, percent int) *Static {
	return &Static{slots: max(slots, 1), percent: min(max(percent, 1), 100)}
}

// Limit returns the part of the slots that is used.
func (s *Static) Limit() int { return max(s.slots*s.percent/100, 1) }

// Observe learns nothing.
func (s *Static) Observe(jackdawbridge.Millis, jackdawbridge.Sample) {}

// Resize changes the slots.
func (s *Static) Resize(slots int) { s.slots = max(slots, 1) }
