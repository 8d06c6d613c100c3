// Command vetchtrail is the operators' tool: it speaks the schema's calls to
// any daemon.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
)

// Exit codes.
const (
	exitFailed   = 1 // the call failed, or the arguments were wrong
	exitInvalid  = 2 // the change is not valid
	exitConflict = 3 // another change was first
	exitUnknown  = 4 // the change may take effect: run the same command again with --change-id
	exitNotYet   = 5 // accepted, but not in force everywhere
)

// exitError is an error with the exit code it asks for.
type exitError struct {
	code int
	error
}

// arguments are the subcommands and what all of them take.
type arguments struct {
	globals

	Config     configCommand     `cmd:"" help:"The configuration as a whole."`
	Service    serviceCommand    `cmd:"" help:"Services."`
	Region     regionCommand     `cmd:"" help:"Regions."`
	Route      routeCommand      `cmd:"" help:"Routes by host name and path."`
	Endpoint   endpointCommand   `cmd:"" help:"Endpoints."`
	Workspace  workspaceCommand  `cmd:"" help:"Workspaces and their residency."`
	Host       hostCommand       `cmd:"" help:"Entry hosts."`
	Status     statusCommand     `cmd:"" help:"Show hosts, endpoints and data centres."`
	Quarantine quarantineCommand `cmd:"" help:"The requests that are held back because endpoints ended under them."`
	Decisions  decisionsCommand  `cmd:"" help:"Show a host's recent decisions."`
	Explain    explainCommand    `cmd:"" help:"Tell why a request ran where it did."`
	Trace      traceCommand      `cmd:"" help:"Tell a request's history from the logs of several hosts."`
	Losses     lossesCommand     `cmd:"" help:"Tell from the logs of all hosts where requests were lost, and why."`
	Settings   settingsCommand   `cmd:"" help:"Daemons' settings files."`
}

const description = `Operate vetchtrail through any of its daemons.

Exit codes: 0 done; 1 the call failed; 2 the change is not valid; 3 another
change was first; 4 the store was lost, the change may take effect; 5 accepted,
but not in force everywhere.`

func main() {
	var a arguments
	k := kong.Parse(&a, kong.Name("vetchtrail"), kong.Description(description), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	err := k.Run(&a.globals)
	if err == nil {
		return
	}
	k.Errorf("%s", err)
	var e exitError
	if errors.As(err, &e) {
		os.Exit(e.code)
	}
	os.Exit(exitFailed)
}
