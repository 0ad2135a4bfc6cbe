// Command standin runs stand-ins for what surrounds a fleet: the platform's
// key-value service, backend servers and callers.
package main

import "github.com/alecthomas/kong"

// commands are the subcommands, each in a file of its own.
type commands struct {
	Platform platformCommand `cmd:"" help:"Serve the platform's key-value service from memory."`
	Backend  backendCommand  `cmd:"" help:"Run a stand-in for a backend server."`
	Load     loadCommand     `cmd:"" help:"Send calls of several client accounts and print what became of them."`
}

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("standin"), kong.UsageOnError(),
		kong.Description("Stand-ins for the platform, backend servers and callers."))
	ctx.FatalIfErrorf(ctx.Run())
}
