// Command review2 runs the scripts of the second review. Each one starts nodes as separate
// processes, with stand-ins of the store, of backend servers and of clients, and checks a rule
// on what these have seen.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

// script runs a case with a fleet. The flag says whether the disruption happens.
type script func(f *fleet, trouble bool) error

// scripts are the cases by name.
var scripts = map[string]script{
	"early": runEarly,
	"host":  runHost,
	"odd":   runOdd,
	"lapse": runLapse,
	"pause": runPause,
	"stop":  runStop,
}

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 SCRIPT FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scripts[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run runs a script and returns the exit code. It ends all processes that were started.
func run(s script, folder string, trouble bool) int {
	f, err := newFleet(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	defer f.close()
	err = s(f, trouble)
	switch {
	case err == nil:
		f.record.line("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		f.record.line("%v", err)
		fmt.Println(err)
		return exitBroken
	}
	f.record.line("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return exitNotRun
}
