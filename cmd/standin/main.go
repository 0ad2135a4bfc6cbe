<<<<<<< HEAD
// Command standin runs stand-ins for the systems that a node meets: the
// platform's key-value service and backend servers.
=======
// Command standin runs stand-ins for what surrounds a fleet: backend servers
// and callers. The fleet script and the process tests use it.
>>>>>>> 3cc5053 (node, standin: tests of the rules at a hop, backend server and load)
package main

import "github.com/alecthomas/kong"

<<<<<<< HEAD
// commands are the subcommands, each in a file of its own.
type commands struct {
	Platform platformCommand `cmd:"" help:"Serve the platform's key-value service from memory."`
}

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("standin"), kong.UsageOnError(),
		kong.Description("Stand-ins for the platform and for backend servers."))
=======
type commands struct {
	Backend backendCommand `cmd:"" help:"Run a stand-in for a backend server."`
	Load    loadCommand    `cmd:"" help:"Send calls of several client accounts and print what became of them."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("standin"), kong.DefaultEnvars("STANDIN"))
>>>>>>> 3cc5053 (node, standin: tests of the rules at a hop, backend server and load)
	ctx.FatalIfErrorf(ctx.Run())
}
