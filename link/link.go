// Package link carries requests between nodes. Two nodes share a few TCP
// connections, each for many requests at a time, so that a request costs neither
// a connection nor the parsing of its head as text.
//
// The node that dials sends requests and the other one answers them. A connection
// begins with greetings that are sealed with a secret of the fleet. After that
// both sides send frames. Each frame belongs to a request, by a number that the
// dialing side has chosen.
package link

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// dialTimeout bounds a new connection with its greetings, which take three
	// crossings of the network. A loaded node needs some hundred milliseconds.
	dialTimeout = 1500 * time.Millisecond
	// greetTimeout bounds the greetings of a connection that was accepted.
	greetTimeout = 3 * time.Second
	// keepAlive is the time between the probes of an idle connection.
	keepAlive = 15 * time.Second
	// idleTime is how long a connection without requests stays open.
	idleTime = time.Minute
	// beatInterval is the time after which a connection that has requests and
	// brought nothing is asked for a sign of life.
	beatInterval = 500 * time.Millisecond
	// doubtBeats is how many of these may stay unanswered until new requests go
	// over another connection, and deadBeats until the connection is closed. A
	// connection can go silent for good while new ones work. A loaded node answers
	// late, and closing its connections would fail all requests on them.
	doubtBeats = 2
	deadBeats  = 5
	// writeStall is how long the other side may take nothing of what is written.
	writeStall = 10 * time.Second

	// maxLinks is the number of connections to one node. A lost packet holds up
	// all requests on its connection.
	maxLinks = 4
	// spreadAt is the number of requests on each connection from which another one
	// is opened.
	spreadAt = 8
	// maxStreams bounds the requests on one connection.
	maxStreams = 4096
	// maxIdleWorkers bounds the goroutines that wait for the next request of a peer,
	// with their stacks of some 16 KB. A busy backend server runs some hundred
	// requests, of which few begin in the same millisecond.
	maxIdleWorkers = 32
	// maxSessions bounds the connections that are accepted. Each of 300 nodes may
	// open maxLinks, and as many again after a cut.
	maxSessions = 4096

	// window is the bytes of a body that may be under way before the receiver asks
	// for more. A body that its sender holds in full is at most as large.
	window = 64 << 10
	// maxChunk bounds the bytes of a body in one frame.
	maxChunk = 32 << 10
	// maxPayload bounds the bytes of a frame. Heads are bounded by the listeners
	// for callers, far below.
	maxPayload = 2 << 20
	// maxPending is the bytes that wait to be written from which parts of bodies
	// wait.
	maxPending = 256 << 10
	// readBuffer is the size of the buffer of a connection in bytes. Most frames
	// are heads of less than a kilobyte.
	readBuffer = 8 << 10
)

var (
	errClosed   = errors.New("link: closed")
	errSilent   = errors.New("link: the other side is silent")
	errProtocol = errors.New("link: unexpected frame")
	errBroken   = errors.New("link: broken off by the other side")
)

// Sealer seals the greetings with a secret of the fleet.
type Sealer interface {
	// SealHello returns the sealed greeting.
	SealHello(hello []byte) []byte
	// OpenHello returns the greeting if its seal is valid.
	OpenHello(sealed []byte) ([]byte, error)
}
