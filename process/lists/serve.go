package lists

import (
	"time"

	"google.golang.org/protobuf/proto"

	"vetchtrail"
	"vetchtrail/schema"
)

// ServeListing replies to a host that queries for a newer listing than its own. If the history
// reaches back far enough, the reply has only what has changed since. While this host's link is
// busy, the reply refers to hosts that were served the same listing: a listing of thousands of
// endpoints then reaches hundreds of hosts in a few steps, instead of being sent to one after the
// other by the host that polls the platform.
func (l *Lists) ServeListing(q *schema.ListRequest) *schema.Listing {
	now := time.Now()
	m := l.replyTo(q, now)
	m.Configuration, m.Cut = l.cfg.Configuration.Revision(), l.selfRejected(now)
	m.Settling = now.Sub(l.startedAt) < settleTime && !l.pollState(now).shouldPoll()
	return m
}

// replyTo returns the reply to a query, without the fields that do not depend on the listing. It
// is empty if this host has no listing. It contains the age of the listing but no endpoints if the
// querying host's listing is as new, if this host's link is busy, or if the reply would be longer
// than the query allows.
func (l *Lists) replyTo(q *schema.ListRequest, now time.Time) *schema.Listing {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.current.Load()
	if current == nil {
		return &schema.Listing{}
	}
	short := &schema.Listing{Seen: current.ConfirmedRevision, Age: int64(now.Sub(current.ReadAt)), Polled: schema.PollAge(current, now), Sum: l.checksum}
	if current.Revision <= q.GetRevision() {
		return short
	}
	n := l.history.countSince(q.GetRevision(), current)
	if !l.uplink.admits(now) {
		short.Busy, short.Refer = true, l.uplink.referrals(current.Revision, l.rnd)
		return short
	}
	if q.GetMost() > 0 && n > int(q.GetMost()) {
		short.Large = uint32(n)
		return short
	}
	m := l.listingSince(q.GetRevision(), current, now)
	l.uplink.record(proto.Size(m), current.Revision, q.GetFrom(), now)
	return m
}

// listingSince returns the message that updates a listing of a revision to the current one: a diff
// if the history reaches back that far, else the full listing. The caller holds the lock.
func (l *Lists) listingSince(revision uint64, current *vetchtrail.Listing, now time.Time) *schema.Listing {
	out := *current
	d, isDiff := l.history.diffSince(revision, current)
	isDiff = isDiff && revision > 0
	hostsKept := isDiff && l.history.hostsRevision <= revision
	if isDiff {
		out.Endpoints = d.changed
	}
	if hostsKept {
		out.Hosts = nil
	}
	m := schema.FromListing(&out, now, l.cfg.Clock())
	m.Sum, m.HostsKept = l.checksum, hostsKept
	if isDiff {
		m.Since, m.Gone = revision, d.removed
	}
	return m
}
