package admission

import (
	"slices"
	"time"

	"vetchtrail"
)

const (
	// levelCut multiplies the level after an update with a wait over the target, and levelRaise
	// is added to it after any other. Updates are 100 ms apart: a level that is twice too high is
	// corrected within about a second, the age of the reports.
	levelCut     = 0.95
	levelRaise   = 0.005
	minimumLevel = 0.02 // some requests must run to show that the queue has gone
)

// DelayControl admits a share of its own host's demand that follows the observed queueing: it
// falls by a factor while requests wait too long, and rises slowly otherwise. It needs no
// messages from other hosts.
type DelayControl struct {
	shares    Shares
	diffusion diffusion
	level     float64
}

// NewDelayControl returns a Controller that admits everything until requests wait too long.
func NewDelayControl(seed uint64) *DelayControl {
	return &DelayControl{diffusion: newDiffusion(seed), level: 1}
}

// Update implements Controller. The classes are those of the host's own demand. They are summed
// over workspaces, as one host sees too few requests of each.
func (d *DelayControl) Update(s State, _ time.Time) {
	if s.Wait.Seconds() > targetShare*s.Objective.Seconds() {
		d.level = max(minimumLevel, d.level*levelCut)
	} else {
		d.level = min(1, d.level+levelRaise)
	}
	classes := s.Classes[:0]
	for _, c := range s.Classes {
		c.Workspace = ""
		at := slices.IndexFunc(classes, func(o vetchtrail.ClassDemand) bool { return classOfDemand(o) == classOfDemand(c) })
		if at < 0 {
			classes = append(classes, c)
		} else {
			classes[at].Asked += c.Asked
		}
	}
	s.Classes = classes
	d.shares.Compute(classes, d.level*s.asked(), nil)
}

// Share implements Controller.
func (d *DelayControl) Share(c Class) float64 {
	if d.level >= 1 {
		return 1
	}
	return d.shares.Fraction(c)
}

// Admit implements Controller.
func (d *DelayControl) Admit(c Class) bool { return d.diffusion.admit(c, d.Share(c)) }
