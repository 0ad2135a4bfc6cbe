// Package jackdawbridge holds the core types of an overload control layer for
// service call graphs: events, effects, messages, stored records, and all
// interfaces with more than one possible implementation. It does no I/O.
//
// A node passes events to a Reducer and executes the effects that the Reducer
// adds to an Effects list. Implementations of the interfaces live in the packages
// below this one.
package jackdawbridge
