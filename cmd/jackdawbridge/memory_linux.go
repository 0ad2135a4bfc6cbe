package main

import (
	"os"
	"runtime/debug"
	"syscall"
)

const (
	// memoryPercent is the percentage of the machine's memory that the garbage collector
	// tries to stay within. A burst of requests may exceed it until they have ended.
	memoryPercent = 65
	// minMachineMemory is the memory in bytes below which the system's answer is not
	// believed, because a program of this size would only collect garbage.
	minMachineMemory = 64 << 20
)

// limitMemory sets the memory limit of the garbage collector by the memory of the machine,
// unless GOMEMLIMIT sets one.
func limitMemory() {
	if os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return
	}
	total := uint64(info.Totalram) * max(1, uint64(info.Unit)) //nolint:unconvert // 32 bits wide on some systems
	if total >= minMachineMemory {
		debug.SetMemoryLimit(int64(total / 100 * memoryPercent))
	}
}
