// Command harness plays the cases of the review: a small deployment of the program under test, with stand-ins for the
// store, the engines and the clients in this process.
//
// It is called at the root of the repository as "harness CASE FOLDER", writes record.txt into the folder, and exits with 1 if the rule was broken, with 0 if it held and with 2 if
// the case could not run. With TROUBLE=0 in its environment it leaves out the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// play is a case. It returns the breaches that it found.
type play func(ctx context.Context, c *Case) ([]string, error)

// Case is what a play gets.
type Case struct {
	Record  *Record
	Dir     string // temporary
	Trouble bool
}

var plays = map[string]play{
	"surplus":  surplus,
	"form":     form,
	"encoding": encoding,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return exitNotRun
	}
	r, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	c := &Case{Record: r, Dir: dir, Trouble: os.Getenv("TROUBLE") != "0"}
	r.Note("case %s, disruption %t", os.Args[1], c.Trouble)
	breaches, err := plays[os.Args[1]](ctx, c)
	if err != nil {
		r.Note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for i, b := range breaches {
		r.Note("BROKEN: %s", b)
		if i < 5 {
			fmt.Println("BROKEN:", b)
		}
	}
	r.Note("%d breaches", len(breaches))
	fmt.Println(len(breaches), "breaches")
	if len(breaches) > 0 {
		return exitBroken
	}
	return exitHeld
}
