// Command standin runs stand-ins for the systems that a node meets: the
// platform's key-value service and backend servers.
package main

import "github.com/alecthomas/kong"

// commands are the subcommands, each in a file of its own.
type commands struct {
	Platform platformCommand `cmd:"" help:"Serve the platform's key-value service from memory."`
}

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("standin"), kong.UsageOnError(),
		kong.Description("Stand-ins for the platform and for backend servers."))
	ctx.FatalIfErrorf(ctx.Run())
}
