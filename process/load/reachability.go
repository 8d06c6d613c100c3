package load

import (
	"log/slog"
	"time"

	"vetchtrail"
)

// SetLog sets the logger of what changes in the endpoints' reachability. Without it, nothing is logged.
func (t *Table) SetLog(log *slog.Logger) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log = log
}

// Evidence by which a back-off of an unreachable endpoint ended.
const (
	byResponse  = "response"
	byOwnReport = "load report"
)

// recordUnreachable takes an endpoint out of use because a connection to it failed. The caller holds the lock.
func (t *Table) recordUnreachable(s *endpointState, until, now time.Time, err error) {
	if s.unreachableSince.IsZero() {
		s.unreachableSince = now
	}
	s.connectFailedAt = now
	s.backOff(vetchtrail.ReasonUnreachable, until)
	s.warmUp = initialWarmUp
	countConnectFailure(s.Service)
	t.log.Info("endpoint unreachable", "endpoint", s.Name, "service", s.Service, "failures", s.connectFailuresInRow+1,
		"since", s.unreachableSince, "until", until, "error", err)
}

// recordReachable ends that an endpoint counts as unreachable. The caller holds the lock.
func (t *Table) recordReachable(s *endpointState, by string, now time.Time) {
	if s.unreachableSince.IsZero() {
		return
	}
	countReachableAgain(s.Service, by)
	t.log.Info("endpoint reachable again", "endpoint", s.Name, "service", s.Service, "by", by, "after", now.Sub(s.unreachableSince))
	s.unreachableSince = time.Time{}
}

// reachedByOthers reports whether another host received a load report from the endpoint after this host's last
// connection to it failed.
func (s *endpointState) reachedByOthers() bool {
	return s.backOffReason == vetchtrail.ReasonUnreachable && s.hasReport && !s.receivedHere && s.report.TakenAt.After(s.connectFailedAt)
}
