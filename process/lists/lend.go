package lists

import (
	"time"

	"google.golang.org/protobuf/proto"

	"vetchtrail"
	"vetchtrail/schema"
)

// Lend answers a host that asks for lists that are newer than its own: with what changed since, as far as that
// is remembered. Beyond what this host's link bears it names hosts that were lent the same: the lists of thousands
// of endpoints reach hundreds of hosts over some steps, not one after the other from the host that reads them.
func (l *Lists) Lend(q *schema.ListRequest) *schema.Listing {
	now := time.Now()
	m := l.lend(q, now)
	m.Configuration, m.Cut = l.cfg.Configuration.Revision(), l.Cut(now)
	return m
}

func (l *Lists) lend(q *schema.ListRequest, now time.Time) *schema.Listing {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.held.Load()
	if held == nil {
		return &schema.Listing{}
	}
	seen := &schema.Listing{Seen: held.Seen, Age: int64(now.Sub(held.At))}
	if held.Revision <= q.GetRevision() {
		return seen
	}
	n := l.history.count(q.GetRevision(), held)
	if !l.sending.admits(now) {
		seen.Busy, seen.Refer = true, l.sending.refer(held.Revision, l.rnd)
		return seen
	}
	if q.GetMost() > 0 && n > int(q.GetMost()) {
		seen.Large = uint32(n)
		return seen
	}
	m := l.newer(q.GetRevision(), held, now)
	l.sending.note(proto.Size(m), held.Revision, q.GetFrom(), now)
	return m
}

// newer makes the message of what is newer than a revision. The caller holds the lock.
func (l *Lists) newer(revision uint64, held *vetchtrail.Listing, now time.Time) *schema.Listing {
	out := *held
	d, known := l.history.since(revision, held)
	known = known && revision > 0
	kept := known && l.history.hosts <= revision
	if known {
		out.Endpoints = d.changed
	}
	if kept {
		out.Hosts = nil
	}
	m := schema.FromListing(&out, now, l.cfg.Clock())
	m.Sum, m.HostsKept = l.sum, kept
	if known {
		m.Since, m.Gone = revision, d.gone
	}
	return m
}
