package schema

import (
	"time"

	"vetchtrail"
)

// FromLeaves returns the message for an endpoint that said at a moment, in one life, that it leaves.
func FromLeaves(short uint32, born, said, now time.Time) *EndpointLeaves {
	m := &EndpointLeaves{Endpoint: short, AgeMillis: uint32(max(0, now.Sub(said).Milliseconds()))}
	if !born.IsZero() {
		m.Born = born.UnixNano()
	}
	return m
}

// ToLeaves returns what a message that arrived now tells, and the start of the life that said so.
func ToLeaves(m *EndpointLeaves, now time.Time) (n vetchtrail.Notice, born time.Time) {
	if m.GetBorn() != 0 {
		born = time.Unix(0, m.GetBorn())
	}
	said := now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond)
	return vetchtrail.Notice{Leaving: true, Asked: said, Heard: said}, born
}
