package main

import (
	"os"

	"vetchtrail/standin/capacity"
)

// capacityCommand writes the tables of docs/CAPACITY.md.
type capacityCommand struct{}

// Run reads benchmark output from standard input and writes the tables to standard
// output.
func (c *capacityCommand) Run() error {
	points, err := capacity.Parse(os.Stdin)
	if err != nil {
		return err
	}
	m, err := capacity.NewModel(points)
	if err != nil {
		return err
	}
	m.Write(os.Stdout)
	return nil
}
