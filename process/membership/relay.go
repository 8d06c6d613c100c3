package membership

import (
	"slices"
	"time"

	"vetchtrail/schema"
)

// relayState records the digest of a data centre that was last relayed to a member.
type relayState struct {
	sentAt      time.Time
	digestTime  time.Time // when the digest was made
	newest      uint64    // highest revision in the digest
	membersHash uint32    // hash of the members that were last relayed
}

// maxInlineMembers is the maximum number of members that are relayed with a digest as soon
// as they change; they take some hundred bytes. The members of a larger data centre are
// relayed only to hosts that request them.
const maxInlineMembers = 16

// RelayFanout is the number of hosts that each host relays a digest to. With it, each digest
// reaches all but a few of a hundred hosts. At any time, the last three digests of a data
// centre are new enough for it to count as reachable, so a host may miss one.
const RelayFanout = 4

// due reports whether the newest digest of a data centre is to be relayed to a member.
// A digest that reports a newer configuration is relayed at once. Any other is relayed no
// sooner than RelayInterval after the last one, and to at most RelayFanout hosts. These
// limits don't apply to a digest that is sent with its members: see relaysFor.
func (r relayState) due(d *remote, now time.Time) bool {
	if !d.digestTime.After(r.digestTime) {
		return false
	}
	return now.Sub(r.sentAt) >= RelayInterval && d.relayCount < RelayFanout || d.digest.GetNewest() > r.newest
}

// relaysFor returns the digests of remote data centres to send to a member. A host relays
// every digest that it holds, not only those that it received from the remote data centre
// itself. If only the receiving host relayed a digest, it would reach only the gossip peers
// of that host before it is too old, and these are few in a data centre of hundreds. The
// caller holds the lock.
func (m *Membership) relaysFor(to *member, now time.Time) []*schema.Digest {
	var out []*schema.Digest
	for name, d := range m.remotes {
		sent := to.relayed[name]
		changed := len(d.digest.GetMembers()) <= maxInlineMembers && sent.membersHash != d.digest.GetMembersHash()
		withMembers := d.complete && (changed || slices.Contains(to.lacksMembersOf, name))
		if !withMembers && !sent.due(d, now) {
			continue
		}
		relay := withoutMembers(d.digest)
		relay.AgeMillis = millis(now.Sub(d.digestTime))
		if withMembers {
			relay.Members, sent.membersHash = d.digest.GetMembers(), d.digest.GetMembersHash()
		}
		to.relayed[name] = relayState{sentAt: now, digestTime: d.digestTime, newest: d.digest.GetNewest(), membersHash: sent.membersHash}
		d.relayCount++
		out = append(out, relay)
	}
	to.lacksMembersOf = nil
	return out
}

// membersToRequest returns the data centres whose members this host requests in its next
// heartbeat: those of which it holds no members, and those of which it has lacked the newest
// members for RelayInterval. The wait, and the limit to one request each HeartbeatInterval,
// keep the traffic low: the list of members is long in a large data centre, and changes all
// the time while the hosts there start. The caller holds the lock.
func (m *Membership) membersToRequest(now time.Time) []string {
	var out []string
	for name, d := range m.remotes {
		missing := !d.complete && (len(d.digest.GetMembers()) == 0 || now.Sub(d.incompleteSince) >= RelayInterval)
		if missing && now.Sub(d.membersRequested) >= HeartbeatInterval {
			d.membersRequested = now
			out = append(out, name)
		}
	}
	return out
}
