// Package stopping plans the times of a host's stop. All waits of a stop end at times of its plan, so
// that together they fit into the grace time, at whose end the platform kills the process. The package
// only computes times; package daemon carries out the plan.
package stopping

import "time"

const (
	// takeTime is how long after the listener has closed a request that is being read may still
	// arrive whole.
	takeTime = 800 * time.Millisecond
	// takeShare limits takeTime to a part of the time until the requests in progress are ended:
	// 1/takeShare.
	takeShare = 6
	// writeTime is for writing the final responses of the requests that are ended.
	writeTime = 100 * time.Millisecond
	// taskTime is for the end of the background tasks and the shutdown of the directory.
	taskTime = 100 * time.Millisecond
	// spareTime is for writing out the log, and for a process that gets little processor time.
	spareTime = 200 * time.Millisecond
	exitTime  = 50 * time.Millisecond // the part of spareTime after the log
	// graceShare limits the sum of writeTime, taskTime and spareTime to 1/graceShare of the grace time.
	graceShare = 8
)

// Plan holds the times of a stop in their order. Without a grace time those from EndRequests on are zero:
// the requests in progress may take as long as they need.
type Plan struct {
	Signalled     time.Time
	CloseListener time.Time // until then, new connections are accepted
	// TakeUntil is until when a request must have been read whole to be run. Later ones are refused, and
	// requests that wait for capacity wait no longer.
	TakeUntil        time.Time
	EndRequests      time.Time // requests in progress are ended
	CloseConnections time.Time // connections are closed, also those to which a response is being written
	Exit             time.Time // background tasks are abandoned
	WriteLog         time.Time // the rest of the log is abandoned, and the process exits
	Kill             time.Time // the platform kills the process
}

// NewPlan returns the plan of a stop. leave is how long the host goes on as before while the other hosts
// and the callers learn that it is leaving. grace is the time until the process is killed; 0: unlimited.
func NewPlan(signalled time.Time, leave, grace time.Duration) Plan {
	p := Plan{Signalled: signalled, CloseListener: signalled.Add(leave)}
	if grace <= 0 {
		p.TakeUntil = p.CloseListener.Add(takeTime)
		return p
	}
	p.Kill = signalled.Add(grace)
	shorten := min(1, float64(grace/graceShare)/float64(writeTime+taskTime+spareTime))
	p.Exit = p.Kill.Add(-scale(spareTime, shorten))
	p.WriteLog = p.Kill.Add(-scale(exitTime, shorten))
	p.CloseConnections = p.Exit.Add(-scale(taskTime, shorten))
	p.EndRequests = p.CloseConnections.Add(-scale(writeTime, shorten))
	running := p.EndRequests.Sub(signalled)
	leave = min(leave, running/2) // half of the time is left to finish the requests
	p.CloseListener = signalled.Add(leave)
	p.TakeUntil = p.CloseListener.Add(min(takeTime, (running-leave)/takeShare))
	return p
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// Limited reports whether the stop must be complete by a certain time.
func (p Plan) Limited() bool { return !p.Kill.IsZero() }
