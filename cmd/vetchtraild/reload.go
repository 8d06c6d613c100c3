package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"vetchtrail/process/daemon"
	"vetchtrail/process/settings"
)

// lookEvery is how often the settings file is looked at: it may change without
// a signal, and none of what can change is urgent.
const lookEvery = 5 * time.Second

// reloader takes changes of the settings file, on SIGHUP or when it is seen to
// have changed. A file that is not valid leaves what stands.
type reloader struct {
	file    string
	daemon  *daemon.Daemon
	level   *slog.LevelVar
	log     *slog.Logger
	changed time.Time // of the file, as last seen
}

func (r *reloader) run(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	r.look()
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			r.look()
			r.reload("signal")
		case <-t.C:
			if r.look() {
				r.reload("file changed")
			}
		}
	}
}

// look says whether the file has changed since it was last looked at.
func (r *reloader) look() bool {
	info, err := os.Stat(r.file)
	if err != nil {
		r.log.Warn("settings file not seen", "file", r.file, "error", err)
		return false
	}
	changed := !info.ModTime().Equal(r.changed)
	r.changed = info.ModTime()
	return changed
}

func (r *reloader) reload(why string) {
	s, err := settings.Load(r.file)
	if err != nil {
		r.log.Error("settings not reloaded", "why", why, "error", err)
		return
	}
	setLevel(s.Log, r.level)
	limitMemory(s.Limits.Memory)
	waits := r.daemon.Reload(s)
	r.log.Info("settings reloaded", "why", why, "needs_restart", waits)
}
