// Command vetchtraild is the daemon that runs on each entry host. It receives
// callers' requests and routes them to endpoints. The package parses the command
// line, sets up logging and signals, and wires the connections to the platform;
// the daemon itself is in package process/daemon.
package main

import (
	"github.com/alecthomas/kong"
)

// arguments lists the subcommands for the command-line parser (kong).
type arguments struct {
	Serve    serveCommand    `cmd:"" help:"Serve callers, peers and operators until stopped."`
	Settings settingsCommand `cmd:"" help:"Print the effective settings, including defaults."`
}

func main() {
	signals := catchSignals()
	var a arguments
	k := kong.Parse(&a, kong.Name("vetchtraild"), kong.Description("The daemon of a vetchtrail entry host."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run(signals))
}
