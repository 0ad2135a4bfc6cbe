package jackdawbridge

// Millis is a point in time or a duration, in milliseconds. Points in time count
// from the Unix epoch.
type Millis int64

// Second is one second.
const Second Millis = 1000

// Clock provides the current time.
type Clock interface {
	// Now returns the current time. Successive results never decrease.
	Now() Millis
}
