package jackdawbridge

import "strconv"

// Instance names the slot in which a node and its backend server run.
type Instance string

// DataCentre names a data centre.
type DataCentre string

// AccountName names a client account.
type AccountName string

// ServiceName names a service of the call graph.
type ServiceName string

// RequestID identifies one request over all nodes that serve it.
type RequestID string

// CallID identifies a call within one node process.
type CallID uint64

// Token lets a backend server make calls on behalf of the request it runs.
// The zero value is no token.
type Token [16]byte

// KeyHash is the SHA-256 hash of a caller's key.
type KeyHash [32]byte

// Fingerprint identifies requests with the same account, method, path and body.
type Fingerprint uint64

// String returns f in hexadecimal digits.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Node identifies one process of one instance.
type Node struct {
	instance    Instance
	incarnation uint64 // rises with each process of the instance
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

// String returns the instance and the incarnation of n.
func (n Node) String() string {
	return string(n.instance) + "#" + strconv.FormatUint(n.incarnation, 10)
}
