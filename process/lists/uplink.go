package lists

import (
	"math/rand/v2"
	"time"

	"vetchtrail"
)

const (
	// servedLinkShare is the share of a host's link that served listings may take.
	servedLinkShare = 0.5
	// maxSendDelay is the longest time that a further listing may wait for the link until the
	// listings served before it are sent.
	maxSendDelay = 200 * time.Millisecond
	// maxReferrals is how many hosts the reply of a busy host refers to.
	maxReferrals = 3
	// maxRecipients is how many recipients of a listing are remembered for referrals.
	maxRecipients = 64
)

// uplink limits the listings that a host serves to what its link can send. It also remembers the
// latest recipients of the newest served listing, to refer other hosts to them.
type uplink struct {
	bytesPerSecond float64   // share of the link for served listings; 0: not bounded
	busyUntil      time.Time // estimated time when everything served so far is sent
	revision       uint64    // of the listing that was last served
	recipients     []string  // addresses of hosts that were served that revision, the latest last
}

// admits reports whether a message may be served now: it would wait at most maxSendDelay for the
// link.
func (u *uplink) admits(now time.Time) bool { return u.busyUntil.Sub(now) <= maxSendDelay }

// record counts the bytes of a served message and remembers its recipient for referrals to that
// revision. A recipient that gave no address can't be referred to and is not remembered.
func (u *uplink) record(bytes int, revision uint64, to string, now time.Time) {
	if u.bytesPerSecond > 0 {
		u.busyUntil = vetchtrail.Later(u.busyUntil, now).Add(time.Duration(float64(bytes) / u.bytesPerSecond * float64(time.Second)))
	}
	if revision != u.revision {
		u.revision, u.recipients = revision, nil
	}
	if to == "" {
		return
	}
	if len(u.recipients) >= maxRecipients {
		u.recipients = u.recipients[1:]
	}
	u.recipients = append(u.recipients, to)
}

// referrals returns some random hosts that were served the listing of a revision.
func (u *uplink) referrals(revision uint64, rnd *rand.Rand) []string {
	if revision != u.revision {
		return nil
	}
	var out []string
	for _, i := range rnd.Perm(len(u.recipients)) {
		if len(out) < maxReferrals {
			out = append(out, u.recipients[i])
		}
	}
	return out
}
