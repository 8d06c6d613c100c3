package scenario

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// sleep D: a promise's own time ("after a few seconds"), never a
// synchronisation
func (s *script) sleep(_ *testscript.TestScript, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// await ran|check words…: repeats it until it holds
func (s *script) await(ts *testscript.TestScript, args []string) error {
	var last error
	err := s.fleet.Await(context.Background(), strings.Join(args, " "), func() bool {
		if args[0] == "ran" {
			last = s.ran(ts, args[1:])
		} else {
			last = s.check(ts, args[1:])
		}
		return last == nil
	})
	if err != nil {
		return errors.Join(err, last)
	}
	return nil
}

// firstready HOST N: the host's first moment in service must be on a revision
// of N or later
func (s *script) firstReady(_ *testscript.TestScript, args []string) error {
	h, err := s.fleet.Settings(args[0])
	if err != nil {
		return err
	}
	err = s.fleet.Await(context.Background(), args[0]+" in service", func() bool {
		return s.fleet.Client.Get(context.Background(), h.Listen.Callers, "/readyz", nil) == nil
	})
	if err != nil {
		return err
	}
	want, _ := strconv.Atoi(args[1])
	if got, ok := revisionOf(h.Listen.Peers); !ok || got < uint64(want) {
		return fmt.Errorf("in service with revision %d instead of %d", got, want)
	}
	return nil
}

// inforcehost HOST N: waits until one host holds the revision
func (s *script) inForceHost(_ *testscript.TestScript, args []string) error {
	h, err := s.fleet.Settings(args[0])
	if err != nil {
		return err
	}
	want, _ := strconv.Atoi(args[1])
	return s.fleet.Await(context.Background(), args[0]+" with "+args[1], func() bool {
		got, ok := revisionOf(h.Listen.Peers)
		return ok && got >= uint64(want)
	})
}
