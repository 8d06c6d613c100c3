// Command vetchtrail is the operators' command-line tool. It calls the operators' API
// of any daemon to show the system's state and to change its configuration. The
// subcommands trace, losses and settings check read files and call no daemon.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
)

// Exit codes of the tool.
const (
	exitFailed   = 1 // the call failed, or the arguments were wrong
	exitInvalid  = 2 // the change is not valid
	exitConflict = 3 // another change was accepted first
	exitUnknown  = 4 // the outcome is unknown; running the same command with --change-id settles it
	exitNotYet   = 5 // the revision is accepted, but not in force everywhere
)

// exitError is an error that sets the tool's exit code.
type exitError struct {
	code int
	error
}

// arguments lists the subcommands and the global flags for the command-line parser
// (kong).
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
	Capacity   capacityCommand   `cmd:"" help:"Show what services can process, what callers ask for and what is admitted."`
	Quarantine quarantineCommand `cmd:"" help:"Poison requests: quarantined because endpoints crashed while running them."`
	Decisions  decisionsCommand  `cmd:"" help:"Show a host's recent decisions."`
	Explain    explainCommand    `cmd:"" help:"Show the decisions on a request and the reasons for them."`
	Trace      traceCommand      `cmd:"" help:"Show a request's history from the logs of several hosts."`
	Losses     lossesCommand     `cmd:"" help:"Summarise from the logs of all hosts which requests were lost or late, and why."`
	Settings   settingsCommand   `cmd:"" help:"Settings files of daemons."`
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
