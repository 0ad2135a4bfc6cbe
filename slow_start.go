package jackdawbridge

import (
	"math"

	"github.com/go-faster/errors"
)

// maxStartRate bounds the rate of a slow start in requests per second.
const maxStartRate = 10000

// SlowStart is the rate of requests that a cold backend server of a service withstands. A
// backend server is cold for some seconds after its start, and may become cold again.
type SlowStart struct {
	service ServiceName
	time    Millis // how long a backend server stays cold, above 0
	rate    int64  // requests in 1000 s, 1 to 1000 times maxStartRate
}

// NewSlowStart returns the slow start of the backend servers of a service, with the rate in
// requests per second.
func NewSlowStart(service ServiceName, time Millis, rate float64) (*SlowStart, error) {
	if service == "" {
		return nil, errors.New("slow start has no service")
	}
	if time <= 0 || time > MaxDuration {
		return nil, errors.Errorf("slow start of %s takes %d ms: want 1 to %d", service, time, MaxDuration)
	}
	if !(rate > 0) || math.IsInf(rate, 0) {
		return nil, errors.Errorf("slow start of %s has rate %g: want more than 0", service, rate)
	}
	return &SlowStart{service: service, time: time, rate: max(int64(min(rate, maxStartRate)*1000), 1)}, nil
}

// Service returns the service whose backend servers s describes.
func (s *SlowStart) Service() ServiceName { return s.service }

// Time returns how long a backend server stays cold.
func (s *SlowStart) Time() Millis { return s.time }

// Rate returns the rate of a cold backend server in requests per second.
func (s *SlowStart) Rate() float64 { return float64(s.rate) / 1000 }

// Bound returns the rate as a number of requests in a span. The span is a second, or longer
// for a rate below 1.
func (s *SlowStart) Bound() (limit int, span Millis) {
	if s.rate >= 1000 {
		return int(s.rate / 1000), Second
	}
	return 1, 1000 * Second / Millis(s.rate)
}

// SlowStartEntry returns the entry of a slow start.
func SlowStartEntry(s *SlowStart) Entry {
	return Entry{name: "slowstart/" + string(s.service), slowStart: s}
}

// EvacuationEntry returns the entry of a data centre whose backend servers are to get no
// requests.
func EvacuationEntry(dc DataCentre) Entry {
	return Entry{name: "evacuation/" + string(dc), evacuated: dc}
}
