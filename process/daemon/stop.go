package daemon

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"vetchtrail"
	"vetchtrail/process/stopping"
)

const (
	// drainPollInterval is the pause between two checks for requests still in progress.
	drainPollInterval = 50 * time.Millisecond
	// quietTimeout is how long a host without a grace time waits for callers to read the rest of
	// their responses when no request runs any more.
	quietTimeout = 10 * time.Second
	// directoryTimeout bounds the shutdown of the directory, to which callers may keep connections open.
	directoryTimeout = time.Second
	// logTimeout bounds the writing of the log, which nobody may be reading.
	logTimeout = time.Second
)

// requestsEnded counts the requests that were ended because the host had to stop.
var requestsEnded = metrics.GetOrCreateCounter("vetchtrail_requests_ended_by_stop_total")

// Leave makes the host announce that it is leaving, finish the requests in flight and stop. It
// returns at once and may be called more than once: the first call plans the times of the stop.
func (d *Daemon) Leave() {
	d.leaveOnce.Do(func() {
		timing := d.timing.Load()
		leave := timing.Leave
		if d.membership.Starting() {
			leave = 0 // nobody is told to use this host
		}
		d.stopPlan = stopping.NewPlan(time.Now(), leave, timing.Grace)
		close(d.leaveRequested)
	})
}

// LogDeadline returns until when the log may be written out once Run has returned at the time now.
func (d *Daemon) LogDeadline(now time.Time) time.Time {
	select {
	case <-d.leaveRequested:
		if d.stopPlan.Limited() {
			return vetchtrail.Earlier(d.stopPlan.WriteLog, now.Add(logTimeout))
		}
	default:
	}
	return now.Add(logTimeout)
}

// waitUntilStopped returns when a stop requested by Leave is complete, when ctx has ended or
// when serving callers has failed. serveErr receives the result of serving callers. It returns
// the time by which the process must exit; zero: none.
func (d *Daemon) waitUntilStopped(ctx context.Context, serveErr <-chan error) (exitBy time.Time, err error) {
	select {
	case err := <-serveErr:
		if err == nil {
			err = errors.New("closed")
		}
		return time.Time{}, errors.Wrap(err, "daemon.Run: callers")
	case <-ctx.Done():
		d.callers.CloseConnections()
		d.shutdown(ctx, time.Now().Add(quietTimeout))
	case <-d.leaveRequested:
		d.finishRequests(ctx, d.stopPlan)
		return d.stopPlan.Exit, nil
	}
	return time.Time{}, nil
}

// finishRequests announces that the host is leaving, and returns when the requests in progress have
// ended. Those that are still in progress at the times of the plan are ended, and then cut. They are
// cut at once if ctx ends.
func (d *Daemon) finishRequests(ctx context.Context, p stopping.Plan) {
	d.logStop("signal", p)
	d.membership.SetState(vetchtrail.HostLeaving)
	d.callers.Leave(p.TakeUntil)
	stopTaking := time.AfterFunc(time.Until(p.TakeUntil), d.dispatcher.StopTaking)
	defer stopTaking.Stop()
	sleep(ctx, time.Until(p.CloseListener))
	d.logStop("listener closed", p)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		d.shutdown(ctx, p.CloseConnections)
	}()
	if !d.waitForRequests(ctx, closed, p.EndRequests) {
		d.logStop("ending requests", p)
		requestsEnded.Add(d.dispatcher.InFlight())
		d.dispatcher.EndRequests()
		d.waitForRequests(ctx, closed, p.CloseConnections)
	}
	lastWrite := time.Now().Add(drainPollInterval) // of responses to other hosts
	if p.Limited() && p.CloseConnections.Before(lastWrite) {
		lastWrite = p.CloseConnections
	}
	sleep(ctx, time.Until(lastWrite))
	d.logStop("requests ended", p)
	d.callers.CloseConnections()
	if ctx.Err() != nil { // the shutdown may not have begun
		select {
		case <-closed:
		case <-time.After(quietTimeout):
		}
	}
}

// waitForRequests waits until the connections of all callers are closed and no request runs, or until
// ctx ends. It returns false at the time until. Without that time, it stops waiting once nothing has
// run for quietTimeout.
func (d *Daemon) waitForRequests(ctx context.Context, closed <-chan struct{}, until time.Time) bool {
	quietBy := time.Now().Add(quietTimeout)
	for ctx.Err() == nil {
		now := time.Now()
		running := d.dispatcher.InFlight() > 0
		if running {
			quietBy = now.Add(quietTimeout)
		}
		select {
		case <-closed:
			if !running {
				return true
			}
		default:
		}
		switch {
		case until.IsZero() && !now.Before(quietBy):
			return true
		case !until.IsZero() && !now.Before(until):
			return false
		}
		pause := drainPollInterval
		if !until.IsZero() {
			pause = min(pause, until.Sub(now))
		}
		sleep(ctx, pause)
	}
	return true
}

// shutdown closes the listener for callers and waits until their connections are closed, at most until
// the given time; zero: unlimited. It waits on when ctx ends, as the connections are closed then.
func (d *Daemon) shutdown(ctx context.Context, until time.Time) {
	ctx = context.WithoutCancel(ctx)
	if !until.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, until)
		defer cancel()
	}
	if err := d.callers.Shutdown(ctx); err != nil {
		d.log.Info("callers' connections still open", "error", err)
	}
}

// endTasks waits for the background tasks, whose context has ended, and shuts down the directory. What
// has not ended by the given time, if any, is abandoned.
func (d *Daemon) endTasks(tasks *conc.WaitGroup, by time.Time) {
	directoryBy := time.Now().Add(directoryTimeout)
	if by.IsZero() {
		d.shutdownDirectory(directoryBy)
		tasks.Wait()
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		tasks.Wait()
	}()
	d.shutdownDirectory(vetchtrail.Earlier(directoryBy, by))
	select {
	case <-ended:
	case <-time.After(time.Until(by)):
		d.log.Info("background tasks abandoned")
	}
}

// logStop logs what is in progress at a phase of a stop.
func (d *Daemon) logStop(phase string, p stopping.Plan) {
	c := d.callers.Connections()
	line := []any{
		"phase", phase, "since_signal", time.Since(p.Signalled), "in_flight", d.dispatcher.InFlight(),
		"new", c.New, "reading", c.Reading, "running", c.Running, "writing", c.Writing, "idle", c.Idle, "taken", c.TakenLeaving,
	}
	if !c.LastTaken.IsZero() {
		line = append(line, "last_taken", c.LastTaken.Sub(p.Signalled))
	}
	d.log.Info("stopping", line...)
}
