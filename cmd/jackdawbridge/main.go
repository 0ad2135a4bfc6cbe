// Command jackdawbridge runs a node of the overload control layer, and provides the
// operators' commands for configuration, keys, status and request traces.
package main

import (
	"net/netip"
	"os"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
)

// commands are the subcommands of the program.
type commands struct {
	Node    nodeCommand    `cmd:"" help:"Run the node of one backend server."`
	Check   checkCommand   `cmd:"" help:"Validate a questionnaire without changing anything."`
	Compile compileCommand `cmd:"" help:"Print the configuration that a questionnaire yields."`
	Apply   applyCommand   `cmd:"" help:"Store the configuration of a questionnaire and report where it is in force."`
	Show    showCommand    `cmd:"" help:"Print the configuration that the platform's service stores."`
	Keys    keysCommand    `cmd:"" help:"Create, withdraw and list the keys of client accounts."`
	Status  statusCommand  `cmd:"" help:"Print the status of a node."`
	Explain explainCommand `cmd:"" help:"Print the path of a request from the logs of the nodes."`
}

func main() {
	var c commands
	parser, err := kong.New(&c, kong.Name("jackdawbridge"),
		kong.Description("Overload control for service call graphs."),
		kong.DefaultEnvars("JACKDAW"))
	if err != nil {
		panic(err)
	}
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	ctx.FatalIfErrorf(ctx.Run())
}

// flagError returns the error for a flag whose value is not accepted.
func flagError(flag, value, accepted string) error {
	return errors.Errorf("--%s=%q: want %s", flag, value, accepted)
}

// parseAddrPort parses the value of a flag that holds an address and a port.
func parseAddrPort(flag, value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		return a, flagError(flag, value, "IP:PORT with a port from 1 to 65535")
	}
	return a, nil
}

// checkRange returns an error if the value of a flag is not from low to high.
func checkRange(flag string, value, low, high int64) error {
	if value < low || value > high {
		return errors.Errorf("--%s=%d: want %d to %d", flag, value, low, high)
	}
	return nil
}
