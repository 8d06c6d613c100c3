// Command harness-2 plays the scripted cases of the second review: it starts the project's daemons as processes, plays
// the platform, the servers and the clients around them, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name. trouble is false for a run without the disruption.
var cases = map[string]func(r *record, trouble bool) (verdict, error){
	"route-move": playRouteMove,
	"bodies":     playBodies,
	"region-cut": playRegionCut,
}

func main() { os.Exit(run()) }

// run plays the case that the arguments name, and returns the exit code.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	v, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.write("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	r.write("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
