// Package link carries requests between nodes. Requests from one node to another
// are multiplexed over a few TCP connections, so that a request costs neither a
// new connection nor the parsing of its head as text.
//
// The node that dials is the client, which sends requests, and the node that
// accepts is the server, which answers them. A connection begins with a handshake
// in which each side proves that it has a secret of the fleet. After that both
// sides exchange frames. Each frame of a request carries the stream number that the
// client has chosen for the request.
//
// A frame that a request must not have ends that request only: requests of many callers
// share the connection. The connection ends if its framing is lost, or if the peer goes on
// sending for requests that have ended, which strays bounds.
package link

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/jackdawbridge/jackdawbridge"
)

const (
	// dialTimeout bounds the opening of a connection with its handshake, whose
	// messages cross the network three times. A loaded node needs a few hundred
	// milliseconds.
	dialTimeout = 1500 * time.Millisecond
	// handshakeTimeout bounds the handshake of an accepted connection.
	handshakeTimeout = 3 * time.Second
	// keepAliveInterval is the interval of the TCP keep-alive probes.
	keepAliveInterval = 15 * time.Second
	// idleTimeout is the time after which a connection without requests is closed.
	idleTimeout = time.Minute
	// pingInterval is the time after which a ping is sent on a connection that has
	// requests in progress and has received no frame.
	pingInterval = 500 * time.Millisecond
	// After avoidAfterMissed intervals in a row without a frame, new requests use
	// another connection. After closeAfterMissed the connection is closed. One
	// connection can go silent for good while new ones work. The connection is not
	// closed earlier because a loaded node answers late, and closing its connections
	// would fail all requests on them.
	avoidAfterMissed = 2
	closeAfterMissed = 5
	// writeTimeout bounds each write to a peer that does not read.
	writeTimeout = 10 * time.Second

	// maxConnsPerPeer bounds the connections to one node. There is more than one
	// because a lost packet delays all requests on its connection. Further ones are
	// opened only if none of these accepts a new request.
	maxConnsPerPeer = 4
	// newConnThreshold is the number of requests in progress on the least loaded
	// connection at which another connection is opened.
	newConnThreshold = 8
	// maxStreams bounds the requests that a client has in progress on one connection.
	maxStreams = 4096
	// maxHandlers bounds the handlers that run for one connection. It is above maxStreams
	// because a handler may return long after its client has reset the request and has
	// begun others.
	maxHandlers = 2 * maxStreams
	// maxIdleWorkers bounds the idle goroutines kept for further requests, with
	// stacks of about 16 KB each. A busy backend server runs a few hundred requests,
	// of which few begin in the same millisecond.
	maxIdleWorkers = 32
	// maxAccepted bounds the accepted connections. Each of 300 nodes may open
	// maxConnsPerPeer, and as many again after a network failure.
	maxAccepted = 4096
	// maxUnverified bounds the accepted connections that have not completed the handshake.
	// Above it, the one that was accepted first is closed: a peer needs a round trip.
	maxUnverified = 256

	// window is the number of bytes of a body that may be sent before the receiver
	// grants more. A buffered body is sent without a grant.
	window = jackdawbridge.MaxBufferedBody
	// maxUnread is the number of bytes of a body that a receiver holds. Nodes of earlier
	// versions send a buffered body of up to window+1 bytes without a grant.
	maxUnread = window + 1
	// MaxChunk bounds the bytes of a body in one frame.
	MaxChunk = 32 << 10
	// smallChunk is the size in bytes below which received chunks are joined.
	smallChunk = 1 << 10
	// MaxPayload bounds the payload of a frame in bytes. A larger head is not sent.
	MaxPayload = 2 << 20
	// maxPending is the number of unwritten bytes of a connection at which senders
	// of bodies wait.
	maxPending = 256 << 10
	// readBufferSize is the size of the read buffer of a connection in bytes. Most
	// frames are heads of less than a kilobyte.
	readBufferSize = 8 << 10
)

// These fail to compile if a sender may send more than its receiver takes.
const (
	_ = uint(maxUnread - window)                 // body data without further credit
	_ = uint(window - (window/2 - 1) - MaxChunk) // credit for what was read since the last one
	_ = uint(MaxPayload - MaxChunk)
	_ = uint(maxHandlers - maxStreams)
)

var (
	errClosed       = errors.New("link: request or connection has ended")
	errUnresponsive = errors.New("link: peer does not answer pings")
	errProtocol     = errors.New("link: protocol violation")
	errTooLarge     = errors.New("link: head is too large for a frame")
	errExhausted    = errors.New("link: connection has no more stream numbers")
	errTooMany      = errors.New("link: too many connections")
	errReset        = errors.New("link: request reset by the peer")
	errWithdrawn    = errors.New("link: node is stopping and sends no more requests")
)

// Sealer signs and verifies the messages of the handshake with a secret of the
// fleet.
type Sealer interface {
	// SealHandshake returns the sealed message.
	SealHandshake(message []byte) []byte
	// OpenHandshake returns the message in sealed, or an error if the seal is not
	// valid.
	OpenHandshake(sealed []byte) ([]byte, error)
}
