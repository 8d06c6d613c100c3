package lists

import (
	"cmp"
	"slices"

	"vetchtrail"
)

// maxChanges is how many endpoint changes the history keeps. A host whose listing is older than
// the oldest of them is served the full listing.
const maxChanges = 4096

// history records which endpoints changed at which revision of the listing, so that a host can
// be served only what changed since its own. With full listings, one change would cost the number
// of hosts times the number of endpoints.
type history struct {
	after         uint64   // changes after this revision are all in the history
	changes       []change // in the order of their revisions
	hostsRevision uint64   // revision of the last change of the listed hosts
}

// change records that an endpoint was added, changed or removed at a revision.
type change struct {
	revision uint64
	name     string
}

// record adds the diff from the previous listing, whose revision is before, to the next one, whose
// revision is revision. Both may be the same if two hosts poll the platform and disagree. The diff
// is then recorded under the revision before+1, so that peers whose listing has the revision before
// are served it together with the changes of before+1.
func (h *history) record(before, revision uint64, d endpointDiff, hostsChanged bool) {
	revision = max(revision, before+1)
	if hostsChanged {
		h.hostsRevision = revision
	}
	for _, e := range d.changed {
		h.changes = append(h.changes, change{revision, e.Name})
	}
	for _, name := range d.removed {
		h.changes = append(h.changes, change{revision, name})
	}
	if excess := len(h.changes) - maxChanges; excess > 0 {
		h.after = h.changes[excess-1].revision
		h.changes = slices.Clone(h.changes[excess:])
		for len(h.changes) > 0 && h.changes[0].revision == h.after {
			h.changes = h.changes[1:]
		}
	}
}

// reset empties the history: changes up to a revision are not in it.
func (h *history) reset(revision uint64) { *h = history{after: revision, hostsRevision: revision} }

// countSince returns an upper bound on the number of endpoints in a reply to a host whose listing
// has a revision.
func (h *history) countSince(revision uint64, current *vetchtrail.Listing) int {
	if revision < h.after || revision == 0 {
		return len(current.Endpoints)
	}
	first, _ := slices.BinarySearchFunc(h.changes, revision+1, func(c change, r uint64) int { return cmp.Compare(c.revision, r) })
	return len(h.changes) - first
}

// diffSince returns the diff to the current listing from that of an earlier revision; false:
// the history does not reach back that far.
func (h *history) diffSince(revision uint64, current *vetchtrail.Listing) (endpointDiff, bool) {
	var d endpointDiff
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
		if e := current.Endpoint(c.name); e != nil {
			d.changed = append(d.changed, e)
		} else {
			d.removed = append(d.removed, c.name)
		}
	}
	vetchtrail.SortEndpoints(d.changed)
	slices.Sort(d.removed)
	return d, true
}
