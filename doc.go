// Package jackdawbridge holds the core types of an overload control layer for
// service call graphs: events, effects, messages, stored records, and every
// interface behind which behaviour varies. It does no I/O.
//
// A node feeds events to a Reducer and executes the effects that it returns.
// Implementations of the interfaces live in the packages below this one.
package jackdawbridge
