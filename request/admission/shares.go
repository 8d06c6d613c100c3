package admission

import (
	"cmp"
	"slices"

	"vetchtrail"
)

const (
	// floorShare is the share of the supply that each priority gets if it asks for that much, so
	// that none is starved.
	floorShare = 0.1
	// floorOfMean raises the floor of a priority that asks for much, as a multiple of its
	// proportional share. The aim is a quarter of the mean for each kind of request; the margin
	// is for requests that are admitted but late.
	floorOfMean = 0.4
	// levelSteps is the number of bisections to find a fair level. The error is the largest
	// demand divided by two to this power.
	levelSteps = 30
)

// Shares are the fractions of their demand that classes get of a supply.
type Shares struct {
	granted    map[Class]float64 // rates
	fractions  map[Class]float64
	priorities []priorityGrant
	entries    []entry
}

// entry is a class while a rate is divided.
type entry struct {
	asked, weight float64
	returns       float64 // what its workspace gets for its returns
}

// share returns what a class gets if a workspace of weight 1 gets level for all its requests of
// the priority.
func (e *entry) share(level float64) float64 {
	return min(e.asked, max(0, level*e.weight-e.returns))
}

// priorityGrant is the demand of one priority and what it gets.
type priorityGrant struct {
	classes []vetchtrail.ClassDemand // returns first
	asked   float64                  // beyond extra
	extra   float64                  // from supply that only this priority may use
	floor   float64
	granted float64
}

// Compute divides the supply. granted is further supply by the only priority that may use it.
// Compute reorders the classes, and allocates memory only for classes
// and priorities that it has not seen before.
func (s *Shares) Compute(classes []vetchtrail.ClassDemand, supply float64, granted map[int8]float64) {
	if s.granted == nil {
		s.granted, s.fractions = map[Class]float64{}, map[Class]float64{}
	}
	clear(s.granted)
	clear(s.fractions)
	slices.SortFunc(classes, compareClasses)
	s.splitPriorities(classes)
	for i := range s.priorities {
		p := &s.priorities[i]
		p.extra = min(p.asked, granted[p.classes[0].Priority])
		p.asked -= p.extra
	}
	s.grantPriorities(supply)
	for i := range s.priorities {
		s.priorities[i].granted += s.priorities[i].extra
	}
	usual := meanWeight(classes)
	for i := range s.priorities {
		s.divide(&s.priorities[i], usual)
	}
}

// compareClasses orders classes by priority, the highest first, then returns before first
// attempts.
func compareClasses(a, b vetchtrail.ClassDemand) int {
	if c := cmp.Compare(b.Priority, a.Priority); c != 0 {
		return c
	}
	if a.Return != b.Return {
		if a.Return {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Workspace, b.Workspace)
}

func (s *Shares) splitPriorities(classes []vetchtrail.ClassDemand) {
	s.priorities = s.priorities[:0]
	begin := 0
	for i := range classes {
		if i+1 < len(classes) && classes[i+1].Priority == classes[i].Priority {
			continue
		}
		p := priorityGrant{classes: classes[begin : i+1]}
		for _, c := range p.classes {
			p.asked += c.Asked
		}
		s.priorities = append(s.priorities, p)
		begin = i + 1
	}
}

// grantPriorities gives each priority its floor, and the rest to the highest priorities.
func (s *Shares) grantPriorities(supply float64) {
	asked, floors := 0.0, 0.0
	for _, p := range s.priorities {
		asked += p.asked
	}
	share := min(floorShare, 1/float64(max(len(s.priorities), 1)))
	for i := range s.priorities {
		p := &s.priorities[i]
		if p.asked > 0 {
			p.floor = min(p.asked, supply*max(share, floorOfMean*p.asked/asked))
		}
		floors += p.floor
	}
	scale := 1.0
	if floors > supply {
		scale = supply / floors
	}
	left := supply - floors*scale
	for i := range s.priorities {
		p := &s.priorities[i]
		floor := p.floor * scale
		p.granted = floor + min(p.asked-floor, left)
		left -= p.granted - floor
	}
}

// higherShare returns the share of what is granted that goes to other than the lowest priority.
func (s *Shares) higherShare() float64 {
	all, lowest := 0.0, 0.0
	for _, p := range s.priorities {
		all += p.granted
		lowest = p.granted
	}
	if all == 0 {
		return 0
	}
	return 1 - lowest/all
}

// divide divides what a priority gets: first over returns, then over first attempts. What a
// workspace gets for its returns counts for its fair share of the first attempts.
func (s *Shares) divide(p *priorityGrant, usual float64) {
	returns := 0
	for returns < len(p.classes) && p.classes[returns].Return {
		returns++
	}
	left := p.granted - s.fill(p.classes[:returns], p.granted, usual)
	s.fill(p.classes[returns:], left, usual)
}

// fill divides a rate over classes by weighted max-min fairness, and returns what they get.
func (s *Shares) fill(classes []vetchtrail.ClassDemand, rate, usual float64) float64 {
	s.entries = s.entries[:0]
	low, high := 0.0, 0.0
	for _, c := range classes {
		e := entry{asked: c.Asked, weight: weight(c, usual), returns: s.returnsOf(c)}
		s.entries = append(s.entries, e)
		high = max(high, (e.returns+e.asked)/e.weight)
	}
	if s.atLevel(high) <= rate {
		low = high
	}
	for range levelSteps {
		if level := (low + high) / 2; s.atLevel(level) <= rate {
			low = level
		} else {
			high = level
		}
	}
	for i, c := range classes {
		got := s.entries[i].share(low)
		s.granted[classOfDemand(c)] = got
		if c.Asked > 0 {
			s.fractions[classOfDemand(c)] = got / c.Asked
		}
	}
	return s.atLevel(low)
}

// atLevel returns what all entries get at a level.
func (s *Shares) atLevel(level float64) float64 {
	sum := 0.0
	for i := range s.entries {
		sum += s.entries[i].share(level)
	}
	return sum
}

// returnsOf returns what the workspace of a class of first attempts gets for its returns.
func (s *Shares) returnsOf(c vetchtrail.ClassDemand) float64 {
	if c.Return {
		return 0
	}
	return s.granted[Class{Priority: c.Priority, Return: true, Workspace: c.Workspace}]
}

func weight(c vetchtrail.ClassDemand, usual float64) float64 {
	if c.Weight > 0 {
		return c.Weight
	}
	return usual
}

// meanWeight returns the weight of classes that have none: the mean of the others'.
func meanWeight(classes []vetchtrail.ClassDemand) float64 {
	sum, n := 0.0, 0
	for _, c := range classes {
		if c.Weight > 0 {
			sum += c.Weight
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// Fraction returns the fraction of a class that is admitted. A class without its own
// measurement counts as one of those that are summed up; if there are none, it asks for little
// and is admitted.
func (s *Shares) Fraction(c Class) float64 {
	if f, ok := s.fractions[c]; ok {
		return f
	}
	c.Workspace = ""
	if f, ok := s.fractions[c]; ok {
		return f
	}
	return 1
}
