package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"vetchtrail/process/daemon"
	"vetchtrail/process/memory"
	"vetchtrail/process/settings"
)

// filePollInterval is the time between two checks whether the settings file has changed
// without a SIGHUP. It can be long, as no setting that can be reloaded is urgent.
const filePollInterval = 5 * time.Second

// reloader reloads the settings file on SIGHUP and when its modification time
// changes. If the file is invalid, the current settings stay in force.
type reloader struct {
	file    string
	hangup  <-chan os.Signal
	daemon  *daemon.Daemon
	level   *slog.LevelVar
	log     *slog.Logger
	modTime time.Time // modification time of the file at the last check
}

// run reloads the settings file until ctx ends.
func (r *reloader) run(ctx context.Context) {
	r.updateModTime()
	t := time.NewTicker(filePollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangup:
			r.updateModTime()
			r.reload("signal")
		case <-t.C:
			if r.updateModTime() {
				r.reload("file changed")
			}
		}
	}
}

// updateModTime records the file's modification time and reports whether it differs
// from the time recorded before.
func (r *reloader) updateModTime() bool {
	info, err := os.Stat(r.file)
	if err != nil {
		r.log.Warn("cannot check the settings file for changes", "file", r.file, "error", err)
		return false
	}
	changed := !info.ModTime().Equal(r.modTime)
	r.modTime = info.ModTime()
	return changed
}

// reload reads the file and applies the settings that can change at run time. It
// logs the trigger and the names of changed settings that need a restart.
func (r *reloader) reload(trigger string) {
	s, err := settings.Load(r.file)
	if err != nil {
		r.log.Error("settings not reloaded", "why", trigger, "error", err)
		return
	}
	setLevel(s.Log, r.level)
	memory.LimitRuntime(s.Limits.Memory)
	needRestart := r.daemon.Reload(s)
	r.log.Info("settings reloaded", "why", trigger, "needs_restart", needRestart)
}
