package jackdawbridge

import "math"

// Precedence orders the requests that compete for the same service. The higher byte is the
// rank; the lower byte orders the requests of a rank. It is set at the entry node and
// inherited by all calls of the request.
type Precedence uint16

// NewPrecedence returns the precedence of a request of the given rank. A higher order goes
// first among the requests of that rank.
func NewPrecedence(rank Level, order uint8) Precedence {
	return Precedence(rank)<<8 | Precedence(order)
}

// MaxPrecedence is above that of every request, so that a threshold of MaxPrecedence admits
// none.
const MaxPrecedence = Precedence(MaxRank+1) << 8

// Rank returns the rank.
func (p Precedence) Rank() Level { return Level(p >> 8) }

// Order returns the order among the requests of the rank.
func (p Precedence) Order() uint8 { return uint8(p) }

// MaxUsage is the maximum number of services in a Usage.
const MaxUsage = 8

// maxUsageCalls bounds the calls of one request that are counted.
const maxUsageCalls = 1 << 20

// maxUsageWork bounds the work of one request that is counted.
const maxUsageWork = Millis(math.MaxInt32)

// ServiceUsage is what a request used of one service, and what that service admits.
type ServiceUsage struct {
	service        ServiceName
	calls          int32      // calls that the request caused there, 0 to maxUsageCalls
	work           int32      // time that its backend servers worked on them in milliseconds, 0 to maxUsageWork
	threshold      Precedence // requests below it find no room there
	retryThreshold Precedence // requests below it get no second try there
	rejected       int16      // permille of the calls that its backend servers reject, 0 to 1000
}

// NewServiceUsage returns the calls and the work that a request caused at a service.
func NewServiceUsage(service ServiceName, calls int, work Millis) ServiceUsage {
	return ServiceUsage{service: service, calls: int32(min(max(calls, 0), maxUsageCalls)), work: int32(min(max(work, 0), maxUsageWork))}
}

// WithThresholds returns u with the precedence below which the service has no room, and the
// one below which it grants no second try.
func (u ServiceUsage) WithThresholds(threshold, retryThreshold Precedence) ServiceUsage {
	u.threshold, u.retryThreshold = threshold, retryThreshold
	return u
}

// WithRejected returns u with the part of the calls that the backend servers of the service
// reject, in permille.
func (u ServiceUsage) WithRejected(permille int) ServiceUsage {
	u.rejected = int16(min(max(permille, 0), 1000))
	return u
}

// Service returns the service.
func (u ServiceUsage) Service() ServiceName { return u.service }

// Calls returns the number of calls that the request caused at the service.
func (u ServiceUsage) Calls() int { return int(u.calls) }

// Work returns how long backend servers of the service worked on those calls.
func (u ServiceUsage) Work() Millis { return Millis(u.work) }

// Threshold returns the precedence below which requests find no room at the service, 0 if
// all do.
func (u ServiceUsage) Threshold() Precedence { return u.threshold }

// RetryThreshold returns the precedence below which the service grants no second try, 0 if
// it grants all.
func (u ServiceUsage) RetryThreshold() Precedence { return u.retryThreshold }

// Rejected returns the part of the calls that the backend servers of the service reject, in
// permille.
func (u ServiceUsage) Rejected() int { return int(u.rejected) }

// Usage lists the services that a request reached, each at most once. It is a value, so
// that it can be copied out of the state of a reducer.
type Usage struct {
	length   int // at most MaxUsage
	services [MaxUsage]ServiceUsage
}

// Len returns the number of services.
func (u *Usage) Len() int { return u.length }

// At returns the i-th service.
func (u *Usage) At(i int) ServiceUsage { return u.services[i] }

// Has reports whether a service is in the list.
func (u *Usage) Has(service ServiceName) bool {
	for i := range u.length {
		if u.services[i].service == service {
			return true
		}
	}
	return false
}

// Add adds the usage of a service: calls and work are summed, and of the thresholds and the
// rejected part the higher one remains. It reports false if the list is full and does not
// have the service.
func (u *Usage) Add(s ServiceUsage) bool {
	for i := range u.length {
		o := &u.services[i]
		if o.service == s.service {
			o.calls = min(o.calls+s.calls, maxUsageCalls)
			o.work = int32(min(Millis(o.work)+Millis(s.work), maxUsageWork))
			o.threshold = max(o.threshold, s.threshold)
			o.retryThreshold = max(o.retryThreshold, s.retryThreshold)
			o.rejected = max(o.rejected, s.rejected)
			return true
		}
	}
	if u.length == MaxUsage {
		return false
	}
	u.services[u.length] = s
	u.length++
	return true
}

// Merge adds all services of another list. It reports false if some had no room.
func (u *Usage) Merge(other *Usage) bool {
	all := true
	for i := range other.length {
		all = u.Add(other.services[i]) && all
	}
	return all
}
