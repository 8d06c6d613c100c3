// Command standin runs stand-ins for the systems that vetchtrail depends on, such as
// model engines, the platform's key-value store and the links between regions. Further
// subcommands run the demo, compare the policies under load, and write the tables of the
// capacity page and the example files. The command is for tests and evaluation, not for
// production.
package main

import "github.com/alecthomas/kong"

// arguments lists the subcommands for the command-line parser (kong).
type arguments struct {
	Demo         demoCommand         `cmd:"" help:"Run a small deployment in one process: serve requests, lose a region, recover it."`
	Engine       engineCommand       `cmd:"" help:"Run a stand-in for a model engine."`
	HostedEngine hostedEngineCommand `cmd:"" help:"Run a stand-in for a model engine of the hosted platform."`
	Plain        plainCommand        `cmd:"" help:"Run a stand-in for a plain HTTP service."`
	Store        storeCommand        `cmd:"" help:"Run a stand-in for the platform's key-value store."`
	Hostlist     hostlistCommand     `cmd:"" help:"Run a stand-in for the platform's list of endpoints, which lags behind."`
	Directory    directoryCommand    `cmd:"" help:"Run a stand-in for the directory from which clients read the addresses of entry hosts."`
	Link         linkCommand         `cmd:"" help:"Run a stand-in for the links between regions."`
	Load         loadCommand         `cmd:"" help:"Compare policies under load and faults, with the same requests for each."`
	Capacity     capacityCommand     `cmd:"" help:"Write the tables of docs/CAPACITY.md from benchmark output on standard input."`
	Examples     examplesCommand     `cmd:"" help:"Write the configuration and settings files of the example deployments."`
}

func main() {
	var a arguments
	k := kong.Parse(&a, kong.Name("standin"), kong.Description("Stand-ins for the systems that vetchtrail depends on."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}
