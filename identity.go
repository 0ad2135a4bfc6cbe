package jackdawbridge

import "strconv"

// Instance names a machine that runs a node and its backend server.
type Instance string

// DataCentre names a data centre.
type DataCentre string

// AccountName names a client account.
type AccountName string

// ServiceName names a service of the call graph.
type ServiceName string

// RequestID identifies a request on all nodes that take part in serving it.
type RequestID string

// CallID identifies a call within one node process.
type CallID uint64

// Token authorizes a backend server to make calls on behalf of a request that it
// runs. The zero value is no token.
type Token [16]byte

// KeyHash is the SHA-256 hash of a caller's API key.
type KeyHash [32]byte

// Fingerprint is a hash that is equal for requests with the same account, method,
// service, path, query and body.
type Fingerprint uint64

// String returns f in hexadecimal digits.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Node identifies one process of one instance.
type Node struct {
	instance    Instance
	incarnation uint64 // increases with each process of the instance
}

// NewNode returns the node of the instance with the given incarnation.
func NewNode(instance Instance, incarnation uint64) Node {
	return Node{instance: instance, incarnation: incarnation}
}

// Instance returns the instance of n.
func (n Node) Instance() Instance { return n.instance }

// Incarnation returns the incarnation of n.
func (n Node) Incarnation() uint64 { return n.incarnation }

// IsZero reports whether n identifies no node.
func (n Node) IsZero() bool { return n == Node{} }

// String returns the instance and the incarnation of n, as in "a1#7".
func (n Node) String() string {
	return string(n.instance) + "#" + strconv.FormatUint(n.incarnation, 10)
}
