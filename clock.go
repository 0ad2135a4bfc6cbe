package jackdawbridge

// Millis is an instant or a span in milliseconds. Instants count from the
// Unix epoch.
type Millis int64

// Second is one second.
const Second Millis = 1000

// Clock tells the current time.
type Clock interface {
	// Now returns the current instant. It never goes back.
	Now() Millis
}
