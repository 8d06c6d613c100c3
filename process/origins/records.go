package origins

import (
	"iter"
	"time"
)

// maxRecords bounds the memory of the records to about 6 MB.
const maxRecords = 1 << 16

// record is the origin of a stream.
type record struct {
	service string // empty: received from another host
	version string
	began   time.Time
}

// records holds the records of the streams of the last maxStreamAge, in two generations: when the newer one is old
// or full, it replaces the older one.
type records struct {
	newer, older map[uint64]record
	replaceAt    time.Time
}

// add stores a record, in place of an earlier one of the stream.
func (r *records) add(key uint64, origin record, now time.Time) {
	if !now.Before(r.replaceAt) || len(r.newer) >= maxRecords/2 {
		r.newer, r.older, r.replaceAt = map[uint64]record{}, r.newer, now.Add(maxStreamAge)
	}
	r.newer[key] = origin
}

// find returns the record of a stream, and false if there is none or it is too old.
func (r *records) find(key uint64, now time.Time) (record, bool) {
	origin, ok := r.newer[key]
	if !ok {
		origin, ok = r.older[key]
	}
	return origin, ok && now.Sub(origin.began) <= maxStreamAge
}

// all returns the records that are not too old.
func (r *records) all(now time.Time) iter.Seq2[uint64, record] {
	return func(yield func(uint64, record) bool) {
		for _, generation := range []map[uint64]record{r.older, r.newer} {
			for key, origin := range generation {
				if now.Sub(origin.began) <= maxStreamAge && !yield(key, origin) {
					return
				}
			}
		}
	}
}
