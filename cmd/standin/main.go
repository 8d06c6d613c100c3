// Command standin holds stand-ins for the systems outside, and the demo.
package main

import "github.com/alecthomas/kong"

// arguments are the subcommands.
type arguments struct {
	Demo      demoCommand      `cmd:"" help:"Run a small deployment in one process: serve, lose a region, get it back."`
	Engine    engineCommand    `cmd:"" help:"Stand in for a model engine."`
	Plain     plainCommand     `cmd:"" help:"Stand in for a plain service."`
	Store     storeCommand     `cmd:"" help:"Stand in for the platform's key-value service."`
	Hostlist  hostlistCommand  `cmd:"" help:"Stand in for the platform's lagging list of endpoints."`
	Directory directoryCommand `cmd:"" help:"Stand in for the directory for clients."`
	Link      linkCommand      `cmd:"" help:"Stand in for the links between regions."`
	Load      loadCommand      `cmd:"" help:"Compare the policies under load and faults, on the same arrivals."`
	Capacity  capacityCommand  `cmd:"" help:"Make the tables of docs/CAPACITY.md from benchmarks on standard input."`
	Examples  examplesCommand  `cmd:"" help:"Write the users' deployments of today as files."`
}

func main() {
	var a arguments
	k := kong.Parse(&a, kong.Name("standin"), kong.Description("Stand-ins for the systems round vetchtrail."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}
