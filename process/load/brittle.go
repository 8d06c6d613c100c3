package load

import (
	"time"

	"vetchtrail"
)

const (
	// brittleFor is how long a service's endpoints count as brittle after a response has stated it. All their responses
	// do.
	brittleFor = 10 * time.Second
	// brittleReserve is the share of a brittle endpoint's slots that stays free for requests which other hosts send by the
	// same load report.
	brittleReserve = 0.125
	// brittleGain is what hosts use of the free slots together: more than there are, as few hosts have requests for each
	// endpoint between two of its load reports.
	brittleGain = 1.5
	// maxBrittleReportAge is the age up to which a load report shows what other hosts have at a brittle endpoint. Without
	// one, a host uses half of an equal part of the slots.
	maxBrittleReportAge = 3 * time.Second
	// minBrittleBackOff is the shortest time for which a host sends a brittle endpoint nothing after it refused a request
	// for lack of room; brittleBackOffMargin is by how much the hosts together stay below what it survives. The time varies
	// up to twofold, so that hosts don't come back at the same time.
	minBrittleBackOff    = time.Second
	brittleBackOffMargin = 1.5
)

// isBrittle reports whether the endpoints of the service stated that one which has to refuse more requests a second
// crashes.
func (svc *serviceStats) isBrittle(now time.Time) bool { return now.Before(svc.brittleUntil) }

// recordBrittle records that the endpoints of a service are brittle, and returns whether that is new.
func (t *Table) recordBrittle(name string, a vetchtrail.Availability) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.endpoints[name]
	if !ok || a.Brittle == 0 {
		return false
	}
	svc := t.serviceStats[s.Service]
	isNew := !svc.isBrittle(a.ReceivedAt)
	svc.brittleRefusals, svc.brittleUntil = a.Brittle, vetchtrail.Later(svc.brittleUntil, a.ReceivedAt.Add(brittleFor))
	return isNew
}

// SetPeers sets how many hosts send requests to this host's endpoints, this one included, and a number that differs
// between hosts.
func (t *Table) SetPeers(count func() int, seed uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerCount, t.seed = count, seed
}

// brittleLimit returns how many requests this host may have in flight at a brittle endpoint: as many as it had at the
// newest load report, and its part of the slots that were free then, without the reserve. A part below one request goes to
// some of the hosts, others at each report. Requests that find no slot wait at this host, where they cost no refusal.
func (t *Table) brittleLimit(s *endpointState, now time.Time) int {
	hosts := t.hostCount()
	if !s.hasReport || now.Sub(s.report.TakenAt) > maxBrittleReportAge {
		return max(1, s.Slots/hosts/2)
	}
	usable := s.Slots - max(1, int(brittleReserve*float64(s.Slots)))
	free := max(0, usable-s.report.Running-s.report.Queued)
	draw := float64(mixBits(t.seed^s.nameHash^uint64(s.report.TakenAt.UnixNano()))%(1<<20)) / (1 << 20)
	return s.inFlightAt(s.report.TakenAt) + int(brittleGain*float64(free)/float64(hosts)+draw)
}

// brittleBackOff returns until when this host sends nothing to a brittle endpoint that refused a request now: so long that
// all hosts together have it refuse fewer requests than it survives.
func (t *Table) brittleBackOff(s *endpointState, now time.Time) time.Time {
	least := max(minBrittleBackOff, time.Duration(brittleBackOffMargin*float64(t.hostCount())/float64(t.serviceStats[s.Service].brittleRefusals)*float64(time.Second)))
	spread := mixBits(t.seed^s.nameHash^uint64(now.UnixNano())) % uint64(least)
	return now.Add(least + time.Duration(spread))
}

// hostCount returns how many hosts send requests to this host's endpoints.
func (t *Table) hostCount() int {
	if t.peerCount == nil {
		return 1
	}
	return max(1, t.peerCount())
}
