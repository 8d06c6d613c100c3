package lists

import (
	"cmp"
	"slices"

	"vetchtrail"
)

// mostChanges is how many changes of endpoints are remembered. A host that is behind by more is lent the
// lists whole.
const mostChanges = 4096

// history is which endpoints changed at which revision of the lists, so that a host is lent what changed since
// its own: with the lists lent whole a change costs hosts times endpoints.
type history struct {
	after   uint64   // changes after this revision are remembered
	changes []change // in the order of their revisions
	hosts   uint64   // revision at which the hosts changed last
}

type change struct {
	revision uint64
	name     string
}

// note remembers how lists differ from those before. Where they are of the same revision, as when two hosts read
// the platform, who holds that one is lent the difference with the next.
func (h *history) note(before, revision uint64, d difference, hosts bool) {
	revision = max(revision, before+1)
	if hosts {
		h.hosts = revision
	}
	for _, e := range d.changed {
		h.changes = append(h.changes, change{revision, e.Name})
	}
	for _, name := range d.gone {
		h.changes = append(h.changes, change{revision, name})
	}
	if over := len(h.changes) - mostChanges; over > 0 {
		h.after = h.changes[over-1].revision
		h.changes = slices.Clone(h.changes[over:])
		for len(h.changes) > 0 && h.changes[0].revision == h.after {
			h.changes = h.changes[1:]
		}
	}
}

// begin forgets all: nothing is known of what was before a revision.
func (h *history) begin(revision uint64) { *h = history{after: revision, hosts: revision} }

// count returns how many endpoints a host that holds lists of a revision is lent at most.
func (h *history) count(revision uint64, is *vetchtrail.Listing) int {
	if revision < h.after || revision == 0 {
		return len(is.Endpoints)
	}
	at, _ := slices.BinarySearchFunc(h.changes, revision+1, func(c change, r uint64) int { return cmp.Compare(c.revision, r) })
	return len(h.changes) - at
}

// since returns how lists differ from those of an earlier revision; false: it lies too far back.
func (h *history) since(revision uint64, is *vetchtrail.Listing) (difference, bool) {
	var d difference
	if revision < h.after {
		return d, false
	}
	seen := map[string]bool{}
	for _, c := range slices.Backward(h.changes) {
		if c.revision <= revision {
			break
		}
		if seen[c.name] {
			continue
		}
		seen[c.name] = true
		if e := is.Endpoint(c.name); e != nil {
			d.changed = append(d.changed, e)
		} else {
			d.gone = append(d.gone, c.name)
		}
	}
	vetchtrail.SortEndpoints(d.changed)
	slices.Sort(d.gone)
	return d, true
}
