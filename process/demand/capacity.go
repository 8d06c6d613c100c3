package demand

import (
	"maps"
	"slices"
	"time"

	"vetchtrail"
	"vetchtrail/request/admission"
)

// Capacity is the state by which the requests for a service are admitted, for operators. Rates
// are of the region, in prompt tokens per second.
type Capacity struct {
	Measured  bool // otherwise no other field is set
	InForce   bool // requests are refused by their shares
	Shortage  bool
	Since     time.Time // when the shortage began; zero: there is none
	Supply    float64   // corrected rate that the region's endpoints can process, without grants
	Factor    float64   // correction factor, which Supply includes
	Granted   float64   // rate that other regions grant to all priorities
	GrantedTo map[int8]float64
	Asked     float64 // with the returns that are planned for the next second
	Classes   []vetchtrail.ClassDemand
	Returns   []vetchtrail.PlannedReturn // by all hosts of the region
	Hosts     int                        // live hosts of the region
	Age       time.Duration              // of the oldest measurement that counts
}

// Capacity returns the state of a service. It creates no state for a service that has had no
// request yet.
func (t *Table) Capacity(name string, now time.Time) Capacity {
	if !t.Measures(name, now) {
		return Capacity{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		return Capacity{Measured: true, InForce: t.InForce(name, now), Factor: 1, Supply: t.cfg.Supplies.Supply(name, now).Rate, Hosts: max(1, t.cfg.RegionHosts())}
	}
	t.refresh(s, now)
	f := s.controller.Figures()
	c := Capacity{
		Measured: true, InForce: t.InForce(name, now), Shortage: f.Shortage.Active, Supply: f.Supply - s.granted, Factor: f.Factor, Granted: s.granted,
		GrantedTo: maps.Clone(s.grantedTo), Asked: f.Asked, Returns: slices.Clone(s.planned), Hosts: s.regionHosts(t), Age: s.age,
	}
	if c.Shortage {
		c.Since = f.Shortage.Since
	}
	for _, class := range s.classes {
		if class.Workspace == reservedWorkspace {
			continue // nobody has asked for it yet; it is in Returns
		}
		class.Admitted = class.Asked
		if c.InForce {
			class.Admitted *= s.controller.Share(classKey(class))
		}
		c.Classes = append(c.Classes, class)
	}
	return c
}

// regionHosts returns the number of live hosts of the region.
func (s *service) regionHosts(t *Table) int { return max(1, s.liveHosts, t.cfg.RegionHosts()) }

// classKey returns the class of a demand.
func classKey(c vetchtrail.ClassDemand) admission.Class {
	return admission.Class{Priority: c.Priority, Return: c.Return, Workspace: c.Workspace}
}
