package admission

import "github.com/jackdawbridge/jackdawbridge"

const (
	// The higher bits of an order count the calls that a tree has left, the lower
	// leftShift bits are a hash of the request.
	leftShift = bucketShift
	// averageUnit is the value of 1 in an Average.
	averageUnit = 256
	// averageDivisor gives a sample a weight of 1/16 in an Average.
	averageDivisor = 16
)

// MaxLeft is the highest number of calls left that is distinguished.
const MaxLeft = 1<<(8-leftShift) - 1

// Left returns the number of calls that a tree has left after the call of a precedence, at
// most MaxLeft.
func Left(p jackdawbridge.Precedence) int { return MaxLeft - int(p.Order()>>leftShift) }

// NewPrecedence returns the precedence of a call of the given rank in a tree that has left
// more calls to make after it. The lower bits of hash decide among equals.
func NewPrecedence(rank jackdawbridge.Level, left int, hash uint8) jackdawbridge.Precedence {
	order := uint8(MaxLeft-min(max(left, 0), MaxLeft))<<leftShift | hash&(1<<leftShift-1)
	return jackdawbridge.NewPrecedence(rank, order)
}

// Average is an exponential average of counts. Its zero value has no samples.
type Average struct {
	sum  int // in 1/averageUnit
	some bool
}

// Add adds a sample.
func (a *Average) Add(n int) {
	if !a.some {
		a.sum, a.some = n*averageUnit, true
		return
	}
	a.sum += (n*averageUnit - a.sum) / averageDivisor
}

// Round returns the average, rounded to the nearest count.
func (a *Average) Round() int { return (a.sum + averageUnit/2) / averageUnit }
