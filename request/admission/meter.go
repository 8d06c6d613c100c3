package admission

import (
	"cmp"
	"slices"
	"time"

	"vetchtrail"
)

const (
	// Window is the time over which demand is measured: long enough that a host sees a few
	// requests of a class, shorter than a shortage.
	Window = time.Second
	// slots is the number of parts of a window that are counted separately, so that the oldest
	// part can be dropped.
	slots = 4
	// MaxClasses bounds the classes of a measurement that leaves the process.
	MaxClasses = 32
	// maxMeasured bounds the classes that a host measures; callers choose how many there are.
	maxMeasured = 512
)

// Meter measures the demand of one host's callers for a service.
type Meter struct {
	classes map[Class]*counts
}

// counts are the tokens asked for and admitted in each part of a window.
type counts struct {
	asked, admitted [slots]float64
	newest          int64 // number of the newest part
}

// slotNumber returns the number of the part of a window that a time belongs to.
func slotNumber(now time.Time) int64 { return now.UnixNano() / int64(Window/slots) }

// windowSeconds returns the time that the parts of a window cover, in seconds: the newest part
// has only begun.
func windowSeconds(now time.Time) float64 {
	part := Window / slots
	return (Window - part + time.Duration(now.UnixNano()%int64(part))).Seconds()
}

// advance drops the parts that are older than a window.
func (c *counts) advance(slot int64) {
	for n := max(c.newest+1, slot-slots+1); n <= slot; n++ {
		c.asked[n%slots], c.admitted[n%slots] = 0, 0
	}
	c.newest = max(c.newest, slot)
}

// Count counts a request with the given work.
func (m *Meter) Count(c Class, work float64, admitted bool, now time.Time) {
	if m.classes == nil {
		m.classes = map[Class]*counts{}
	}
	k, ok := m.classes[c]
	if !ok {
		if len(m.classes) >= maxMeasured {
			c.Workspace = ""
		}
		if k, ok = m.classes[c]; !ok {
			k = &counts{newest: slotNumber(now) - slots}
			m.classes[c] = k
		}
	}
	k.advance(slotNumber(now))
	i := k.newest % slots
	k.asked[i] += work
	if admitted {
		k.admitted[i] += work
	}
}

// Append appends the demand of the last window to out, and forgets classes without any.
func (m *Meter) Append(out []vetchtrail.ClassDemand, now time.Time) []vetchtrail.ClassDemand {
	measured := windowSeconds(now)
	for c, k := range m.classes {
		k.advance(slotNumber(now))
		d := vetchtrail.ClassDemand{Priority: c.Priority, Workspace: c.Workspace, Return: c.Return}
		for i := range slots {
			d.Asked += k.asked[i] / measured
			d.Admitted += k.admitted[i] / measured
		}
		if d.Asked == 0 {
			delete(m.classes, c)
			continue
		}
		out = append(out, d)
	}
	return out
}

// Fold sums up the smallest classes of each priority under one without a workspace, so that at
// most limit remain; with limit 0, only sums remain. Weight becomes the number of workspaces that
// are summed up.
func Fold(classes []vetchtrail.ClassDemand, limit int) []vetchtrail.ClassDemand {
	if len(classes) <= limit {
		return classes
	}
	slices.SortFunc(classes, func(a, b vetchtrail.ClassDemand) int { return cmp.Compare(b.Asked, a.Asked) })
	out := classes[:0]
	for i, c := range classes {
		if i < limit/2 {
			out = append(out, c)
			continue
		}
		workspaces := max(c.Weight, 1)
		c.Workspace, c.Weight = "", 0
		at := slices.IndexFunc(out, func(o vetchtrail.ClassDemand) bool { return classOfDemand(o) == classOfDemand(c) })
		if at < 0 {
			if limit > 0 && len(out) == limit {
				continue
			}
			c.Weight = workspaces
			out = append(out, c)
			continue
		}
		out[at].Weight = max(out[at].Weight, 1) + workspaces
		out[at].Asked += c.Asked
		out[at].Admitted += c.Admitted
	}
	return out
}
