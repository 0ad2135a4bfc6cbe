package node

import "time"

// SmallBody is the size up to which a body is read before admission, hashed
// and kept for a retry.
const SmallBody = 64 << 10

// Limits bounds what the listeners of a Node accept.
type Limits struct {
	headerBytes int           // of a request's header
	headerTime  time.Duration // to read a header
	bodyBytes   int64         // of a request's body
	bodyRate    int64         // least bytes a second of a body
	bodyGrace   time.Duration // before bodyRate holds
	writeStall  time.Duration // for a caller to take a part of an answer
	conns       int           // connections of each listener
	idle        time.Duration // of a connection without a request
	backendIdle time.Duration // of a connection to the backend server
	heartbeat   time.Duration // silence after which the backend server counts as lost
	linger      time.Duration // between a stop and the end of the listeners
	grace       time.Duration // between a stop and the end of the node
}

// DefaultLimits returns the limits of a node in production.
func DefaultLimits() Limits {
	return Limits{
		headerBytes: 32 << 10, headerTime: 5 * time.Second,
		bodyBytes: 256 << 20, bodyRate: 16 << 10, bodyGrace: 5 * time.Second,
		writeStall: 10 * time.Second,
		conns:      4096, idle: 2 * time.Minute,
		backendIdle: 30 * time.Second,
		heartbeat:   3 * time.Second, linger: 2 * time.Second, grace: 30 * time.Second,
	}
}

// WithHeader returns l with a bound on the size of a header and on the time to
// read it.
func (l Limits) WithHeader(bytes int, within time.Duration) Limits {
	l.headerBytes = bytes
	l.headerTime = within
	return l
}

// WithBody returns l with a bound on the size of a body, and the least rate at
// which it must arrive after a grace.
func (l Limits) WithBody(bytes, rate int64, grace time.Duration) Limits {
	l.bodyBytes = bytes
	l.bodyRate = rate
	l.bodyGrace = grace
	return l
}

// WithConns returns l with a bound on the connections of each listener and on
// the time that one stays open without a request.
func (l Limits) WithConns(conns int, idle time.Duration) Limits {
	l.conns = conns
	l.idle = idle
	return l
}

// WithBackendIdle returns l with the time that a connection to the backend
// server stays open without a request. It must be below the time after which
// the backend server closes it.
func (l Limits) WithBackendIdle(idle time.Duration) Limits {
	l.backendIdle = idle
	return l
}

// WithHeartbeat returns l with the silence after which the own backend server
// counts as lost.
func (l Limits) WithHeartbeat(silence time.Duration) Limits {
	l.heartbeat = silence
	return l
}

// WithLinger returns l with the least time between the request to stop and the
// end of the listeners.
func (l Limits) WithLinger(linger time.Duration) Limits {
	l.linger = linger
	return l
}

// WithGrace returns l with the time after which a stopping node ends, whatever
// is left to do.
func (l Limits) WithGrace(grace time.Duration) Limits {
	l.grace = grace
	return l
}
