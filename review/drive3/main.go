// Command drive3 plays the scripted cases of the third review. Each case starts nodes as
// separate processes, with the command and the settings of the deploy file, beside stand-ins
// of the store, the upstreams and the clients. All addresses are loopback addresses.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases holds the cases by their names. A case returns an exit code.
var cases = map[string]func(record *recorder, trouble bool) (int, error){
	"11": uploadAtStop,
	"12": crashAfterRestarts,
	"14": crashWithQueries,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive3 CASE RECORD")
		os.Exit(notRun)
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	code, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.say("the case could not run: %v", err)
		code = notRun
	}
	os.Exit(code)
}
