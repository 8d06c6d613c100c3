package lists

import (
	"encoding/binary"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
)

// difference is what leads from some lists' endpoints to others, both in the order of their names.
type difference struct {
	changed []*vetchtrail.Endpoint // that are new or another
	gone    []string
	sum     uint64 // by how much the sum of the lists differs
}

func (d *difference) empty() bool { return len(d.changed)+len(d.gone) == 0 }

// differ returns what differs between two lists' endpoints.
func differ(old, is []*vetchtrail.Endpoint) difference {
	var d difference
	if len(old) > 0 && len(old) == len(is) && &old[0] == &is[0] {
		return d
	}
	for len(old) > 0 || len(is) > 0 {
		switch order := first(old, is); {
		case order < 0:
			d.gone = append(d.gone, old[0].Name)
			d.sum -= digestOf(old[0])
			old = old[1:]
		case order > 0:
			d.changed = append(d.changed, is[0])
			d.sum += digestOf(is[0])
			is = is[1:]
		default:
			if !same(old[0], is[0]) {
				d.changed = append(d.changed, is[0])
				d.sum += digestOf(is[0]) - digestOf(old[0])
			}
			old, is = old[1:], is[1:]
		}
	}
	return d
}

// first compares the first names of two lists; one that is empty goes behind.
func first(a, b []*vetchtrail.Endpoint) int {
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

// same says whether two entries of an endpoint say the same. Until when it is cold is told by the time left,
// which differs by the way of the message.
func same(a, b *vetchtrail.Endpoint) bool {
	if a == b {
		return true
	}
	if !a.Born.Equal(b.Born) || a.ColdUntil.IsZero() != b.ColdUntil.IsZero() {
		return false
	}
	was, is := *a, *b
	was.Born, was.ColdUntil = is.Born, is.ColdUntil
	return was == is
}

// apply returns the endpoints that a difference makes of others. It shares those that stay.
func (d difference) apply(old []*vetchtrail.Endpoint) []*vetchtrail.Endpoint {
	out := make([]*vetchtrail.Endpoint, 0, len(old)+len(d.changed))
	changed := d.changed
	for _, e := range old {
		for len(changed) > 0 && changed[0].Name < e.Name {
			out, changed = append(out, changed[0]), changed[1:]
		}
		switch {
		case len(changed) > 0 && changed[0].Name == e.Name:
			out, changed = append(out, changed[0]), changed[1:]
		case !d.drops(e.Name):
			out = append(out, e)
		}
	}
	return append(out, changed...)
}

func (d difference) drops(name string) bool {
	_, ok := slices.BinarySearch(d.gone, name)
	return ok
}

// sumOf tells lists with other endpoints apart, whatever the order in which they came about.
func sumOf(endpoints []*vetchtrail.Endpoint) uint64 {
	var sum uint64
	for _, e := range endpoints {
		sum += digestOf(e)
	}
	return sum
}

// digestOf is a hash of what must be the same of an entry at all hosts.
func digestOf(e *vetchtrail.Endpoint) uint64 {
	text := make([]byte, 0, 128)
	for _, s := range []string{e.Name, e.Service, e.Region, e.DataCentre, e.Instance} {
		text = append(append(text, s...), 0)
	}
	text = e.Addr.AppendTo(text)
	text = append(text, flag(e.Draining), flag(e.Fenced))
	for _, n := range []uint64{uint64(e.Slots), math.Float64bits(e.ColdRate), math.Float64bits(e.MoveToken)} {
		text = binary.LittleEndian.AppendUint64(text, n)
	}
	if !e.Born.IsZero() {
		text = binary.LittleEndian.AppendUint64(text, uint64(e.Born.UnixNano()))
	}
	return xxhash.Sum64(text)
}

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}
