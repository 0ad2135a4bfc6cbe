package node

import "time"

// Limits holds the sizes, rates and times that bound the requests and
// connections of a Node, and the times of its shutdown.
type Limits struct {
	maxHeaderBytes     int           // maximum size of a request's header
	headerTimeout      time.Duration // maximum time to read a header
	maxBodyBytes       int64         // maximum size of a request's body
	minBodyRate        int64         // minimum rate at which a body arrives, in bytes per second
	bodyGrace          time.Duration // time before minBodyRate applies
	writeTimeout       time.Duration // maximum time until a caller accepts a part of an answer
	readBytes          int64         // maximum memory of requests that are read and not yet answered, of all listeners
	maxConns           int           // maximum number of connections of each listener
	descriptors        int           // maximum number of open descriptors of the process, 0 if unknown
	idleTimeout        time.Duration // maximum idle time of a connection to a listener
	backendIdleTimeout time.Duration // maximum idle time of a connection to the backend server
	heartbeatTimeout   time.Duration // time without a heartbeat after which the backend server is lost
	linger             time.Duration // minimum time from Stop to the close of the listeners
	gracePeriod        time.Duration // maximum time from Stop to the end of the node
}

// DefaultLimits returns the default limits of a node in production.
func DefaultLimits() Limits {
	return Limits{
		maxHeaderBytes: 32 << 10, headerTimeout: 5 * time.Second,
		maxBodyBytes: 256 << 20, minBodyRate: 16 << 10, bodyGrace: 5 * time.Second,
		writeTimeout: 10 * time.Second, readBytes: 24 << 20,
		maxConns: 4096, idleTimeout: 2 * time.Minute,
		backendIdleTimeout: 30 * time.Second,
		heartbeatTimeout:   3 * time.Second, linger: 2 * time.Second, gracePeriod: 30 * time.Second,
	}
}

// WithHeader returns l with the maximum size of a request's header and the
// maximum time to read it.
func (l Limits) WithHeader(bytes int, within time.Duration) Limits {
	l.maxHeaderBytes = bytes
	l.headerTimeout = within
	return l
}

// WithBody returns l with the maximum size of a request's body, and the minimum
// rate, in bytes per second, at which it must arrive after a grace time.
func (l Limits) WithBody(bytes, rate int64, grace time.Duration) Limits {
	l.maxBodyBytes = bytes
	l.minBodyRate = rate
	l.bodyGrace = grace
	return l
}

// WithReadBytes returns l with the maximum memory, in bytes, of the requests of all
// listeners that are read and not yet answered.
func (l Limits) WithReadBytes(bytes int64) Limits {
	l.readBytes = bytes
	return l
}

// WithConns returns l with the maximum number of connections of each listener
// and the maximum time that one stays open without a request.
func (l Limits) WithConns(maxConns int, idleTimeout time.Duration) Limits {
	l.maxConns = maxConns
	l.idleTimeout = idleTimeout
	return l
}

// WithDescriptors returns l with the maximum number of open descriptors of the process. The
// listeners leave a part of them to links and to connections that the node opens.
func (l Limits) WithDescriptors(descriptors int) Limits {
	l.descriptors = descriptors
	return l
}

// connsOf returns the maximum number of connections of a listener that may use one in share
// of the descriptors.
func (l Limits) connsOf(share int) int {
	if l.descriptors == 0 {
		return l.maxConns
	}
	return max(1, min(l.maxConns, l.descriptors/share))
}

// WithBackendIdle returns l with the maximum time that a connection to the
// backend server stays open without a request. It must be shorter than the idle
// timeout of the backend server.
func (l Limits) WithBackendIdle(idle time.Duration) Limits {
	l.backendIdleTimeout = idle
	return l
}

// WithHeartbeat returns l with the time without a heartbeat after which the local
// backend server is considered lost.
func (l Limits) WithHeartbeat(silence time.Duration) Limits {
	l.heartbeatTimeout = silence
	return l
}

// WithLinger returns l with the minimum time between the call to Stop and the
// close of the listeners.
func (l Limits) WithLinger(linger time.Duration) Limits {
	l.linger = linger
	return l
}

// WithGrace returns l with the maximum time between the call to Stop and the end
// of the node, even if requests are still in progress.
func (l Limits) WithGrace(gracePeriod time.Duration) Limits {
	l.gracePeriod = gracePeriod
	return l
}
