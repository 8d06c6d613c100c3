package load

import (
	"time"

	"vetchtrail"
)

// fullQueue is an endpoint's room since it refused a request because its queue was full. Such a refusal is about the
// moment: room comes back with each request that ends there. During the back-off after it, this host sends as many
// requests as it has evidence of room for.
type fullQueue struct {
	refusedAt time.Time // zero: the back-off has another cause
	room      int       // requests that this host may send
}

// ended counts a request of this host that the endpoint completed.
func (f *fullQueue) ended() {
	if !f.refusedAt.IsZero() {
		f.room++
	}
}

// sent counts a request that this host sends.
func (f *fullQueue) sent() { f.room = max(0, f.room-1) }

// reported takes this host's part of the free slots in a report that is newer than the refusal.
func (f *fullQueue) reported(r *vetchtrail.LoadReport, hosts int) {
	free := r.Slots - r.Running - r.Queued
	if f.refusedAt.IsZero() || free <= 0 || !r.TakenAt.After(f.refusedAt) {
		return
	}
	f.room = max(f.room, 1, free/hosts)
}

// backedOff reports whether the endpoint is out of use after its own refusal, or as it is unreachable.
func (s *endpointState) backedOff(now time.Time) bool {
	return now.Before(s.backOffUntil) && s.full.room == 0
}

// backOffLeft is the seconds until the endpoint is probably in use again after a back-off. A full one is when the next
// of this host's requests there ends.
func (s *endpointState) backOffLeft(serviceTime float64, now time.Time) float64 {
	left := s.backOffUntil.Sub(now).Seconds()
	if s.full.refusedAt.IsZero() || s.inFlight == 0 {
		return left
	}
	return min(left, serviceTime/float64(s.inFlight))
}
