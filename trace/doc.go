// Package trace finds the way of one request in the logs of many nodes.
//
// A Trace is a reducer over log lines: Add takes one line after the other, in any
// order and from any number of nodes, and Report tells what became of the request.
package trace
