package lists

import (
	"math/rand/v2"
	"time"

	"vetchtrail"
)

const (
	// lendPart is the part of a host's link that lending lists may take.
	lendPart = 0.5
	// sendAhead is how much may wait to be sent when more is lent.
	sendAhead = 200 * time.Millisecond
	// mostReferred is how many hosts one that asks is referred to, and rememberLent among how many.
	mostReferred = 3
	rememberLent = 64
)

// sending is what a host has lent lately and has still to send.
type sending struct {
	rate     float64   // bytes a second that lending may take; 0: not bounded
	until    time.Time // when what was lent is sent
	revision uint64
	lent     []string // addresses of hosts that were lent the lists of that revision, the newest last
}

// admits says whether a message that is lent now is sent soon.
func (s *sending) admits(now time.Time) bool { return s.until.Sub(now) <= sendAhead }

// note counts a message that is sent, and remembers who was lent the lists of a revision.
func (s *sending) note(bytes int, revision uint64, from string, now time.Time) {
	if s.rate > 0 {
		s.until = vetchtrail.Later(s.until, now).Add(time.Duration(float64(bytes) / s.rate * float64(time.Second)))
	}
	if revision != s.revision {
		s.revision, s.lent = revision, nil
	}
	if from == "" {
		return
	}
	if len(s.lent) >= rememberLent {
		s.lent = s.lent[1:]
	}
	s.lent = append(s.lent, from)
}

// refer returns some of the hosts that were lent the lists of a revision.
func (s *sending) refer(revision uint64, rnd *rand.Rand) []string {
	if revision != s.revision {
		return nil
	}
	var out []string
	for _, at := range rnd.Perm(len(s.lent)) {
		if len(out) < mostReferred {
			out = append(out, s.lent[at])
		}
	}
	return out
}
