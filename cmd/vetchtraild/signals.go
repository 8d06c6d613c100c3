package main

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// maxPending is the number of signals of a kind that are kept until they are handled.
const maxPending = 16

// processSignals are the signals to the process. They are caught until it exits: one that arrives while the process
// starts, or writes out its log, must not end it.
type processSignals struct {
	stop   chan os.Signal // SIGTERM and SIGINT
	reload chan os.Signal // SIGHUP
}

// catchSignals begins to catch the signals to the process.
func catchSignals() *processSignals {
	s := &processSignals{stop: make(chan os.Signal, maxPending), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// stopOnSignals makes the daemon leave on the first signal. A second SIGINT, or the first one after a
// SIGTERM, aborts it. Another SIGTERM changes nothing: a platform may repeat it, and the requests in
// progress have until the end of the grace time.
func stopOnSignals(signals <-chan os.Signal, leave, abort func(), log *slog.Logger) {
	<-signals
	leave()
	for s := range signals {
		if s == syscall.SIGINT {
			abort()
			return
		}
		log.Info("signal ignored: the host is stopping already", "signal", s.String())
	}
}
