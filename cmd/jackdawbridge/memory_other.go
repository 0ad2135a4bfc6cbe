//go:build !linux

package main

// limitMemory does nothing: the memory of the machine is unknown on this system.
func limitMemory() {}
