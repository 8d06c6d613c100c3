package schema

import (
	"time"

	"vetchtrail"
)

// FromLeaving returns the message which reports that a process instance of an
// endpoint announced at announcedAt that it is leaving. The endpoint is identified
// by the hash of its name, and announcedAt is sent as its age at now.
func FromLeaving(nameHash uint32, startedAt, announcedAt, now time.Time) *EndpointLeaves {
	m := &EndpointLeaves{Endpoint: nameHash, AgeMillis: uint32(max(0, now.Sub(announcedAt).Milliseconds()))}
	if !startedAt.IsZero() {
		m.Born = startedAt.UnixNano()
	}
	return m
}

// ToLeaving returns the availability that a message which arrived now reports, and
// the start time of the process instance that is leaving; zero: not known.
func ToLeaving(m *EndpointLeaves, now time.Time) (a vetchtrail.Availability, startedAt time.Time) {
	if m.GetBorn() != 0 {
		startedAt = time.Unix(0, m.GetBorn())
	}
	announcedAt := now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond)
	return vetchtrail.Availability{Leaving: true, RequestedAt: announcedAt, ReceivedAt: announcedAt}, startedAt
}
