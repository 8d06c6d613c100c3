package admission

import (
	"time"

	"vetchtrail"
)

// MaxAge is the age up to which a measurement counts. A lost host's measurement is dropped
// after it.
const MaxAge = 3 * time.Second

// Measurements are the newest measurements of the demand for a service, by the host or data
// centre that made them.
type Measurements struct {
	bySource map[string]measurement
	sums     map[Class]vetchtrail.ClassDemand
}

type measurement struct {
	classes []vetchtrail.ClassDemand
	at      time.Time
}

// Record replaces the measurement of a source, unless the known one is newer.
func (m *Measurements) Record(source string, classes []vetchtrail.ClassDemand, at time.Time) {
	if m.bySource == nil {
		m.bySource = map[string]measurement{}
	}
	if old, ok := m.bySource[source]; !ok || at.After(old.at) {
		m.bySource[source] = measurement{classes: classes, at: at}
	}
}

// Heard returns the number of sources with a measurement that counts, and the age of the
// oldest one. It drops the others.
func (m *Measurements) Heard(now time.Time) (n int, age time.Duration) {
	for source, k := range m.bySource {
		if now.Sub(k.at) > MaxAge {
			delete(m.bySource, source)
			continue
		}
		n++
		age = max(age, now.Sub(k.at))
	}
	return n, age
}

// Append appends the sum of the measurements that count and of this host's own to out, each
// multiplied by scale.
func (m *Measurements) Append(out, own []vetchtrail.ClassDemand, scale float64, now time.Time) []vetchtrail.ClassDemand {
	if m.sums == nil {
		m.sums = map[Class]vetchtrail.ClassDemand{}
	}
	clear(m.sums)
	m.add(own, scale)
	for _, k := range m.bySource {
		if now.Sub(k.at) <= MaxAge {
			m.add(k.classes, scale)
		}
	}
	for _, c := range m.sums {
		out = append(out, c)
	}
	return out
}

func (m *Measurements) add(classes []vetchtrail.ClassDemand, scale float64) {
	for _, c := range classes {
		key := classOfDemand(c)
		sum := m.sums[key]
		sum.Priority, sum.Return, sum.Workspace = c.Priority, c.Return, c.Workspace
		sum.Asked += scale * c.Asked
		sum.Admitted += scale * c.Admitted
		sum.Weight = max(sum.Weight, c.Weight)
		m.sums[key] = sum
	}
}
