// Package trace finds the path of one request in the logs of many nodes.
//
// A Trace is a reducer over log lines: Add takes them one by one, in any order and from any
// number of nodes, and Report writes what happened to the request.
package trace
