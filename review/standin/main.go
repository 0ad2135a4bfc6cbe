//go:build review

// Command standin runs the cases of the review: it starts nodes as separate processes
// with the command of the deploy file, and plays their backend servers and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The results of a case, as exit codes.
const (
	resultHeld   = 0
	resultBroken = 1
	resultNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*fleet) (bool, error){
	"late-heartbeat":   lateHeartbeat,
	"early-departure":  earlyDeparture,
	"outage-departure": outageDeparture,
	"crash":            crash,
	"stop":             stop,
	"origin":           origin,
	"uploads":          uploads,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(resultNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// maxTime bounds a case. One that takes longer has not run.
const maxTime = 100 * time.Second

// play runs a case, writes its record to a file and returns the exit code.
func play(run func(*fleet) (bool, error), path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return resultNotRun
	}
	defer file.Close() //nolint:errcheck // each line was written when it was recorded
	f, err := newFleet(file, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return resultNotRun
	}
	defer f.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		f.record("not run: ended early")
		f.stop()
		os.Exit(resultNotRun)
	}()
	broken, err := run(f)
	switch {
	case err != nil:
		f.record("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return resultNotRun
	case broken:
		f.record("result: the rule was broken")
		return resultBroken
	}
	f.record("result: the rule held")
	return resultHeld
}
