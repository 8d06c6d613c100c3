package membership

import (
	"slices"
	"time"

	"vetchtrail/schema"
)

// relayed is a digest as it was handed on.
type relayed struct {
	at     time.Time
	made   time.Time // when the digest was
	newest uint64
	told   uint32 // hash of the members that were handed on
}

// fewMembers is how many members go with a digest whenever they are others than were handed on: some hundred bytes.
// More are told to who lacks them.
const fewMembers = 16

// PassEach is to how many hosts each one passes a digest on: three digests are new enough at a time, and all
// but a few of a hundred hosts are told of each.
const PassEach = 4

// due says whether a digest is to be handed on that is newer than what was: after a while, as long as few were
// told of it, or when it tells of a newer configuration.
func (r relayed) due(d *remote, now time.Time) bool {
	if !d.at.After(r.made) {
		return false
	}
	return now.Sub(r.at) >= RelayEvery && d.passed < PassEach || d.digest.GetNewest() > r.newest
}

// digestsFor are the newest digests of other data centres, whoever swapped for them: told by that host alone, they
// reach those that it meets, which in a data centre of hundreds are few in the time in which a digest is of use. The caller holds the lock.
func (m *Membership) digestsFor(to *member, now time.Time) []*schema.Digest {
	var out []*schema.Digest
	for name, d := range m.remotes {
		sent := to.digests[name]
		others := len(d.digest.GetMembers()) <= fewMembers && sent.told != d.digest.GetMembersHash()
		wanted := d.whole && (others || slices.Contains(to.lacks, name))
		if !wanted && !sent.due(d, now) {
			continue
		}
		next := withoutMembers(d.digest)
		next.AgeMillis = millis(now.Sub(d.at))
		if wanted {
			next.Members, sent.told = d.digest.GetMembers(), d.digest.GetMembersHash()
		}
		to.digests[name] = relayed{at: now, made: d.at, newest: d.digest.GetNewest(), told: sent.told}
		d.passed++
		out = append(out, next)
	}
	to.lacks = nil
	return out
}

// lacksNow are the data centres whose members this host asks for, of one host at a time: those that it has none of, and
// those that have had others for a while. They are as long as all the hosts of a data centre, and change all the time
// while a fleet starts. The caller holds the lock.
func (m *Membership) lacksNow(now time.Time) []string {
	var out []string
	for name, d := range m.remotes {
		lacks := !d.whole && (len(d.digest.GetMembers()) == 0 || now.Sub(d.since) >= RelayEvery)
		if lacks && now.Sub(d.asked) >= Tick {
			d.asked = now
			out = append(out, name)
		}
	}
	return out
}
