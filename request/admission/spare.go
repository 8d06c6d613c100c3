package admission

import "time"

const (
	// spareShare is the part of a region's supply up to which other regions may use it. The rest
	// is for the region's own demand that rises until the next digest arrives.
	spareShare = 0.9
)

// Balance is what a region's endpoints can process and what its own callers ask for, in
// tokens per second.
type Balance struct {
	Supply float64
	Asked  float64
	Age    time.Duration // of the figures; 0 for the own region
}

// excess returns the rate that the region can't process itself.
func (b Balance) excess() float64 { return max(0, b.Asked-b.Supply) }

// spare returns the rate that other regions may use. It falls with the age of the figures, to
// none at MaxAge: a region that is cut off can't be used.
func (b Balance) spare() float64 {
	return max(0, spareShare*b.Supply-b.Asked) * max(0, 1-float64(b.Age)/float64(MaxAge))
}

// Grants returns what a region may use of the spare supply of each of the others. Each region's
// spare supply is divided over the regions with an excess in proportion to it. All hosts compute
// the same division from the same digests, so that no messages are needed to agree on it, and
// a region that is lost loses its grants when its digest expires.
func Grants(self Balance, others []Balance) []float64 {
	out := make([]float64, len(others))
	excess, spare := self.excess(), 0.0
	for _, o := range others {
		excess += o.excess()
		spare += o.spare()
	}
	if self.excess() == 0 || spare == 0 {
		return out
	}
	// A region needs no more than its excess, however much is spare.
	share := min(self.excess()/excess, self.excess()/spare)
	for i, o := range others {
		out[i] = share * o.spare()
	}
	return out
}
