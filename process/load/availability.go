package load

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"vetchtrail"
)

const (
	// leavingValidFor is how long an announcement that an endpoint is leaving is valid. An endpoint that still
	// runs after that gets requests again. If it is still leaving, its responses announce that again.
	leavingValidFor = time.Hour
	// maxUnlisted bounds the process instances that are not listed and whose announcements are kept.
	maxUnlisted = 1 << 12
)

// availabilityBySource is what is known of whether an endpoint accepts requests, separately for each source. No
// source withdraws or shortens what another reported. For example, a listing that was read while the platform's
// store was unavailable, or after the store lost its data, may contain a leaving endpoint as ready. The only
// exception is a load report of a later process instance, which withdraws the announcements of the earlier one.
type availabilityBySource struct {
	reportUntil       time.Time // leaving until then, by its newest load report
	platformUntil     time.Time // leaving until then, by the platform's list of endpoints
	otherProcessUntil time.Time // another process is assumed at its address until then
	announcements
}

// announcements is what an endpoint's responses announced about whether it accepts requests. A later response
// that doesn't repeat an announcement doesn't withdraw it. Announcements are valid for one process instance, even
// if the instance is missing from the listing for a while.
type announcements struct {
	leavingUntil     time.Time // until when the announcement that it is leaving is valid; zero: there is none
	requestSentAt    time.Time // when the request of the last announcement was sent
	firstAnnouncedAt time.Time // when a response that announced that it is leaving was first received
	receivedAt       time.Time // when the last announcement was received
	recordedAt       time.Time // when this host recorded that it is leaving
	pausedUntil      time.Time // until when it accepts no requests from this host; zero: not paused
}

// isLeaving reports whether the endpoint is known to be leaving. It then gets no new requests.
func (s *endpointState) isLeaving(now time.Time) bool {
	return s.leavingBy(now) != ""
}

// Blocked implements vetchtrail.EndpointTable. It is checked just before a request is sent, as the endpoint may
// have announced that it is leaving or paused after it was chosen.
func (t *Table) Blocked(name string, now time.Time) (reason vetchtrail.Reason, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.endpoints[name]
	switch {
	case !ok || s.isLeaving(now):
		return vetchtrail.ReasonDraining, time.Time{}
	case now.Before(s.availability.pausedUntil):
		return vetchtrail.ReasonPaused, s.availability.pausedUntil
	}
	return "", time.Time{}
}

// IsLeaving reports whether an endpoint is configured and known to be leaving.
func (t *Table) IsLeaving(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.endpoints[name]
	return ok && s.isLeaving(now)
}

// LeavingBy is the source that reports that an endpoint is leaving.
type LeavingBy string

// Sources that report that an endpoint is leaving; empty: none does.
const (
	ByResponses    LeavingBy = "its answers"
	ByListing      LeavingBy = "list" // the configuration, or the platform's listing
	ByReport       LeavingBy = "load report"
	ByEndpointList LeavingBy = "list of hosts"
	ByOtherProcess LeavingBy = "another process" // sent a response from its address
)

// leavingBy returns the first of the sources by which the endpoint is leaving.
func (s *endpointState) leavingBy(now time.Time) LeavingBy {
	a := &s.availability
	switch {
	case now.Before(a.leavingUntil):
		return ByResponses
	case s.Draining:
		return ByListing
	case now.Before(a.reportUntil):
		return ByReport
	case now.Before(a.platformUntil):
		return ByEndpointList
	case now.Before(a.otherProcessUntil):
		return ByOtherProcess
	}
	return ""
}

// AnnouncementChange is the part of an announcement that this host had not recorded before.
type AnnouncementChange struct {
	Endpoint string // empty: it is not listed
	Leaving  bool   // it is leaving
	Paused   bool   // it is paused, or for longer than was recorded
	Brittle  bool   // the endpoints of its service are brittle
}

// RecordAnnouncement records an announcement that an endpoint's response contained, and returns the part that is
// new.
func (t *Table) RecordAnnouncement(name string, startedAt time.Time, a vetchtrail.Availability) AnnouncementChange {
	brittle := t.recordBrittle(name, a)
	if !a.Leaving && a.PausedUntil.IsZero() && a.Brittle > 0 {
		return AnnouncementChange{Endpoint: name, Brittle: brittle}
	}
	change := t.RecordAnnouncementByHash(NameHash(name), startedAt, a, a.ReceivedAt)
	change.Brittle = brittle
	return change
}

// RecordAnnouncementByHash records an announcement that this or another host received. The endpoint is given by
// the hash of its name (NameHash). The announcement is valid only for the process instance that started at
// startedAt.
func (t *Table) RecordAnnouncementByHash(nameHash uint32, startedAt time.Time, a vetchtrail.Availability, now time.Time) AnnouncementChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var change AnnouncementChange
	if s, ok := t.byNameHash[nameHash]; ok && !s.isOtherInstance(startedAt) {
		change = s.availability.record(a, now)
		change.Endpoint, s.everAnnounced = s.Name, true
		if change.Leaving {
			t.logLeaving(keyOf(nameHash, s.Born), &s.availability.announcements)
		}
		if change.Paused {
			s.warmUp = math.Min(s.warmUp, initialWarmUp) // it is overloaded, and all hosts send requests again when the pause ends
		}
	} else {
		change = t.recordUnlisted(keyOf(nameHash, startedAt), a, now)
	}
	return change
}

// record adds an announcement, and returns what is new. Of two announcements the one that is valid for longer
// counts.
func (a *announcements) record(n vetchtrail.Availability, now time.Time) AnnouncementChange {
	change := AnnouncementChange{Leaving: n.Leaving && !n.ReceivedAt.Before(a.leavingUntil), Paused: n.PausedUntil.After(a.pausedUntil)}
	if change.Leaving {
		a.firstAnnouncedAt, a.recordedAt = n.ReceivedAt, now
	}
	if n.Leaving {
		a.leavingUntil = vetchtrail.Later(a.leavingUntil, n.ReceivedAt.Add(leavingValidFor))
	}
	a.pausedUntil = vetchtrail.Later(a.pausedUntil, n.PausedUntil)
	a.requestSentAt, a.receivedAt = vetchtrail.Later(a.requestSentAt, n.RequestedAt), vetchtrail.Later(a.receivedAt, n.ReceivedAt)
	return change
}

// merge combines two records of the same process instance.
func (a announcements) merge(b announcements) announcements {
	if a.leavingUntil.IsZero() || !b.leavingUntil.IsZero() && b.firstAnnouncedAt.Before(a.firstAnnouncedAt) {
		a.firstAnnouncedAt, a.recordedAt = b.firstAnnouncedAt, b.recordedAt
	}
	a.leavingUntil, a.pausedUntil = vetchtrail.Later(a.leavingUntil, b.leavingUntil), vetchtrail.Later(a.pausedUntil, b.pausedUntil)
	a.requestSentAt, a.receivedAt = vetchtrail.Later(a.requestSentAt, b.requestSentAt), vetchtrail.Later(a.receivedAt, b.receivedAt)
	return a
}

// AvailabilityReported implements vetchtrail.Observer.
func (t *Table) AvailabilityReported(e vetchtrail.Endpoint, a vetchtrail.Availability, _ error) {
	t.RecordAnnouncement(e.Name, e.Born, a)
}

// instanceKey identifies a process instance of an endpoint.
type instanceKey struct {
	nameHash  uint32 // of the endpoint's name, see NameHash
	startedAt int64  // Unix nanoseconds; 0: not known
}

func keyOf(nameHash uint32, startedAt time.Time) instanceKey {
	if startedAt.IsZero() {
		return instanceKey{nameHash: nameHash}
	}
	return instanceKey{nameHash: nameHash, startedAt: startedAt.UnixNano()}
}

// startTime returns the instance's start time; zero: not known.
func (k instanceKey) startTime() time.Time {
	if k.startedAt == 0 {
		return time.Time{}
	}
	return time.Unix(0, k.startedAt)
}

// UnknownField implements vetchtrail.Observer. The table has no use for unknown fields.
func (t *Table) UnknownField(vetchtrail.Endpoint, string) {}

// SlowdownReported implements vetchtrail.Observer. The slowdown itself comes with LoadReported.
func (t *Table) SlowdownReported(vetchtrail.Endpoint, error) {}

// unlistedInstance holds the announcements of a process instance that is not listed now. Its entry may have
// expired while the platform's store was unavailable, or the listing is an older copy or doesn't contain it yet.
type unlistedInstance struct {
	addr netip.AddrPort // not valid: not known
	announcements
}

// expiresAt is when the last of the announcements becomes invalid.
func (a *announcements) expiresAt() time.Time { return vetchtrail.Later(a.leavingUntil, a.pausedUntil) }

// recordUnlisted records an announcement of a process instance that is not listed. The caller holds the lock.
func (t *Table) recordUnlisted(key instanceKey, a vetchtrail.Availability, now time.Time) AnnouncementChange {
	u := t.unlisted[key]
	change := u.record(a, now)
	if change.Leaving {
		t.logLeaving(key, &u.announcements)
	}
	t.addUnlisted(key, u)
	return change
}

// keepAnnouncements keeps the announcements of a process instance that is no longer listed. The caller holds
// the lock.
func (t *Table) keepAnnouncements(s *endpointState) {
	if !s.availability.expiresAt().IsZero() {
		t.addUnlisted(keyOf(NameHash(s.Name), s.Born), unlistedInstance{addr: s.Addr, announcements: s.availability.announcements})
	}
}

// restoreAnnouncements merges into the state of a newly listed endpoint what the same process instance announced
// while it was not listed. The caller holds the lock.
func (t *Table) restoreAnnouncements(s *endpointState, e vetchtrail.Endpoint) {
	key := keyOf(NameHash(e.Name), e.Born)
	u, ok := t.unlisted[key]
	if !ok {
		return
	}
	delete(t.unlisted, key)
	if !u.addr.IsValid() || u.addr == e.Addr {
		s.availability.announcements = s.availability.merge(u.announcements)
	}
}

// addUnlisted adds a process instance that is not listed. If there are too many, the one whose announcements
// expire first is dropped. The caller holds the lock.
func (t *Table) addUnlisted(key instanceKey, u unlistedInstance) {
	if _, known := t.unlisted[key]; !known && len(t.unlisted) >= maxUnlisted {
		first, firstExpiry := key, u.expiresAt()
		for other, o := range t.unlisted {
			if o.expiresAt().Before(firstExpiry) {
				first, firstExpiry = other, o.expiresAt()
			}
		}
		if first == key {
			return
		}
		delete(t.unlisted, first)
	}
	t.unlisted[key] = u
}

// LeavingInstance is a process instance of an endpoint whose responses announced that it is leaving.
type LeavingInstance struct {
	NameHash         uint32    // hash of the endpoint's name, see the function NameHash
	StartedAt        time.Time // start of the instance
	FirstAnnouncedAt time.Time // when such a response was first received
}

// leavingLogEntry records when this host recorded that a process instance is leaving.
type leavingLogEntry struct {
	instanceKey
	recordedAt time.Time
}

// maxLeavingLog bounds the log of leaving process instances.
const maxLeavingLog = 2 * maxUnlisted

// logLeaving adds a process instance to the end of the log if it announced that it is leaving. If its recordedAt
// is before that of the last entry, it gets the time of that entry, so that the log stays in the order of
// recordedAt. The caller holds the lock.
func (t *Table) logLeaving(key instanceKey, a *announcements) {
	if a.leavingUntil.IsZero() {
		return
	}
	if n := len(t.leavingLog); n > 0 {
		a.recordedAt = vetchtrail.Later(a.recordedAt, t.leavingLog[n-1].recordedAt)
	}
	if len(t.leavingLog) >= maxLeavingLog {
		t.leavingLog = slices.Delete(t.leavingLog, 0, maxLeavingLog/2)
	}
	t.leavingLog = append(t.leavingLog, leavingLogEntry{instanceKey: key, recordedAt: a.recordedAt})
}

// announcementsOf returns what a process instance announced; nil: it is no longer known. The caller holds the
// lock.
func (t *Table) announcementsOf(key instanceKey) *announcements {
	if s, ok := t.byNameHash[key.nameHash]; ok && keyOf(key.nameHash, s.Born) == key {
		return &s.availability.announcements
	}
	if u, ok := t.unlisted[key]; ok {
		return &u.announcements
	}
	return nil
}

// LeavingAfter returns the process instances whose responses announced that they are leaving, if this host
// recorded that after the time after and if the announcement is still valid. The last recorded is first.
func (t *Table) LeavingAfter(after, now time.Time) []LeavingInstance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []LeavingInstance
	for _, entry := range slices.Backward(t.leavingLog) {
		if !entry.recordedAt.After(after) {
			break
		}
		a := t.announcementsOf(entry.instanceKey)
		if a != nil && a.recordedAt.Equal(entry.recordedAt) && now.Before(a.leavingUntil) {
			out = append(out, LeavingInstance{NameHash: entry.nameHash, StartedAt: entry.startTime(), FirstAnnouncedAt: a.firstAnnouncedAt})
		}
	}
	return out
}
