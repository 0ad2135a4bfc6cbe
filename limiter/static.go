// Package limiter adapts how many requests a backend server runs at once.
package limiter

import "github.com/jackdawbridge/jackdawbridge"

// Static admits as many runs as there are slots.
type Static struct {
	slots int // at least 1
}

// NewStatic returns a limiter with a fixed limit.
func NewStatic(slots int) *Static { return &Static{slots: max(slots, 1)} }

// Limit returns the slots.
func (s *Static) Limit() int { return s.slots }

// Observe learns nothing.
func (s *Static) Observe(jackdawbridge.Millis, jackdawbridge.Sample) {}

// Resize changes the slots.
func (s *Static) Resize(slots int) { s.slots = max(slots, 1) }
