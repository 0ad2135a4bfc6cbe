// Command standin runs stand-ins for the systems around a fleet: the platform's
// key-value service, backend servers and callers.
package main

import "github.com/alecthomas/kong"

// commands are the subcommands of the program, each defined in its own file.
type commands struct {
	Platform platformCommand `cmd:"" help:"Run an in-memory stand-in for the platform's key-value service."`
	Backend  backendCommand  `cmd:"" help:"Run a stand-in for a backend server."`
	Load     loadCommand     `cmd:"" help:"Send calls of several client accounts and print their results."`
}

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("standin"), kong.UsageOnError(),
		kong.Description("Stand-ins for the platform, backend servers and callers."))
	ctx.FatalIfErrorf(ctx.Run())
}
