package lists

import (
	"encoding/binary"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
)

// endpointDiff is the difference between the endpoints of two listings, both sorted by name.
type endpointDiff struct {
	changed  []*vetchtrail.Endpoint // added or changed, with the new values
	removed  []string               // names
	checksum uint64                 // checksum of the new endpoints minus that of the old
}

// empty reports whether the diff has no endpoints.
func (d *endpointDiff) empty() bool { return len(d.changed)+len(d.removed) == 0 }

// diffEndpoints returns the diff from a listing's endpoints to those of another.
func diffEndpoints(before, after []*vetchtrail.Endpoint) endpointDiff {
	var d endpointDiff
	if len(before) > 0 && len(before) == len(after) && &before[0] == &after[0] {
		return d
	}
	for len(before) > 0 || len(after) > 0 {
		switch order := compareFirst(before, after); {
		case order < 0:
			d.removed = append(d.removed, before[0].Name)
			d.checksum -= hashOf(before[0])
			before = before[1:]
		case order > 0:
			d.changed = append(d.changed, after[0])
			d.checksum += hashOf(after[0])
			after = after[1:]
		default:
			if !sameEntry(before[0], after[0]) {
				d.changed = append(d.changed, after[0])
				d.checksum += hashOf(after[0]) - hashOf(before[0])
			}
			before, after = before[1:], after[1:]
		}
	}
	return d
}

// compareFirst compares the names of the first endpoints of a and b. An empty slice compares as
// greater.
func compareFirst(a, b []*vetchtrail.Endpoint) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	case a[0] == b[0]:
		return 0
	}
	return strings.Compare(a[0].Name, b[0].Name)
}

// sameEntry reports whether two entries of an endpoint are the same. It ignores when its cold start
// ends: messages contain the remaining time, so the end that a host computes depends on the time
// that they were in transit.
func sameEntry(a, b *vetchtrail.Endpoint) bool {
	if a == b {
		return true
	}
	if !a.Born.Equal(b.Born) || a.ColdUntil.IsZero() != b.ColdUntil.IsZero() {
		return false
	}
	first, second := *a, *b
	first.Born, first.ColdUntil = second.Born, second.ColdUntil
	return first == second
}

// apply returns the result of applying the diff to the endpoints before. Unchanged entries are
// shared, not copied.
func (d endpointDiff) apply(before []*vetchtrail.Endpoint) []*vetchtrail.Endpoint {
	out := make([]*vetchtrail.Endpoint, 0, len(before)+len(d.changed))
	changed, removed := d.changed, d.removed
	for len(changed) > 0 || len(removed) > 0 {
		isRemoval := len(changed) == 0 || len(removed) > 0 && removed[0] < changed[0].Name
		var name string
		if isRemoval {
			name, removed = removed[0], removed[1:]
		} else {
			name = changed[0].Name
		}
		at, found := slices.BinarySearchFunc(before, name, func(e *vetchtrail.Endpoint, name string) int { return strings.Compare(e.Name, name) })
		out, before = append(out, before[:at]...), before[at:]
		if found {
			before = before[1:]
		}
		if !isRemoval {
			out, changed = append(out, changed[0]), changed[1:]
		}
	}
	return append(out, before...)
}

// checksumOf returns the sum of the endpoints' hashes. Hosts compare it to check whether they have
// the same endpoints. A sum does not depend on the order of the endpoints, and it can be updated
// from a diff alone.
func checksumOf(endpoints []*vetchtrail.Endpoint) uint64 {
	var sum uint64
	for _, e := range endpoints {
		sum += hashOf(e)
	}
	return sum
}

// hashOf returns a hash of the values of an endpoint that must be the same at all hosts.
func hashOf(e *vetchtrail.Endpoint) uint64 {
	text := make([]byte, 0, 128)
	for _, s := range []string{e.Name, e.Service, e.Region, e.DataCentre, e.Instance} {
		text = append(append(text, s...), 0)
	}
	text = e.Addr.AppendTo(text)
	text = append(text, boolByte(e.Draining), boolByte(e.Fenced))
	for _, n := range []uint64{uint64(e.Slots), math.Float64bits(e.ColdRate), math.Float64bits(e.MoveToken)} {
		text = binary.LittleEndian.AppendUint64(text, n)
	}
	if !e.Born.IsZero() {
		text = binary.LittleEndian.AppendUint64(text, uint64(e.Born.UnixNano()))
	}
	text = append(text, e.SoftwareVersion...)
	return xxhash.Sum64(text)
}

// boolByte returns 1 for true and 0 for false.
func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}
