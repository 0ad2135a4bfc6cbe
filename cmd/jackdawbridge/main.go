// Command jackdawbridge runs a node and gives operators their tools.
package main

import (
	"net/netip"
	"os"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
)

// commands are the commands of the program.
type commands struct {
	Node    nodeCommand    `cmd:"" help:"Run a node beside a backend server."`
	Check   checkCommand   `cmd:"" help:"Check a questionnaire."`
	Compile compileCommand `cmd:"" help:"Print the configuration that a questionnaire becomes."`
	Apply   applyCommand   `cmd:"" help:"Put a questionnaire in force."`
	Show    showCommand    `cmd:"" help:"Print the configuration in the platform's service."`
	Keys    keysCommand    `cmd:"" help:"Give, withdraw and list keys."`
	Status  statusCommand  `cmd:"" help:"Print the status of a node."`
	Explain explainCommand `cmd:"" help:"Print the way of a request from the logs of the nodes."`
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

// flagError returns the error of a flag with a value that is not accepted.
func flagError(flag, value, accepted string) error {
	return errors.Errorf("--%s=%q: want %s", flag, value, accepted)
}

// addrPort reads an address from a flag.
func addrPort(flag, value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		return a, flagError(flag, value, "IP:PORT with a port from 1 to 65535")
	}
	return a, nil
}

// within checks a number from a flag.
func within(flag string, value, low, high int64) error {
	if value < low || value > high {
		return errors.Errorf("--%s=%d: want %d to %d", flag, value, low, high)
	}
	return nil
}
