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

// sleep implements "sleep DURATION": it waits for a period that a promise specifies ("after a few
// seconds"). It must not be used to wait for an event: await, until and inforce do that.
func (s *script) sleep(_ *testscript.TestScript, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// await implements "await ran|check ARGUMENTS…": it repeats the command until it succeeds.
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

// firstReady implements "firstready HOST N": it waits until a host becomes ready. The host must have
// revision N or a later one by then.
func (s *script) firstReady(_ *testscript.TestScript, args []string) error {
	h, err := s.fleet.Settings(args[0])
	if err != nil {
		return err
	}
	err = s.fleet.Await(context.Background(), args[0]+" ready", func() bool {
		return s.fleet.Client.Get(context.Background(), h.Listen.Callers, "/readyz", nil) == nil
	})
	if err != nil {
		return err
	}
	want, _ := strconv.Atoi(args[1])
	if got, ok := revisionOf(h.Listen.Peers); !ok || got < uint64(want) {
		return fmt.Errorf("ready with revision %d, want %d or later", got, want)
	}
	return nil
}

// inForceHost implements "inforcehost HOST N": it waits until one host has revision N or a later
// one, whether or not it is ready.
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
