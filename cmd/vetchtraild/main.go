// Command vetchtraild is the daemon of an entry host.
package main

import (
	"github.com/alecthomas/kong"
)

// arguments are the daemon's subcommands.
type arguments struct {
	Serve    serveCommand    `cmd:"" help:"Serve callers, peers and operators until told to stop."`
	Settings settingsCommand `cmd:"" help:"Print the settings that stand, defaults written out."`
}

func main() {
	var a arguments
	k := kong.Parse(&a, kong.Name("vetchtraild"), kong.Description("The daemon of a vetchtrail entry host."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}
