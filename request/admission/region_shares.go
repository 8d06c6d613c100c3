package admission

import "time"

// minLowestShare bounds the share of the supply that is left to the lowest priority in the
// prediction of its wait. With less, much of the supply would stay unused to keep the waits of a
// small part of the requests short.
const minLowestShare = 0.7

// RegionShares admits by weighted max-min shares of the region's supply.
type RegionShares struct {
	shares     Shares
	mix        composition
	diffusion  diffusion
	correction correction
	shortage   Shortage
	supply     float64 // corrected
	asked      float64
	factor     float64
}

// NewRegionShares returns a Controller that admits everything until it is updated. Hosts with
// different seeds begin with different errors.
func NewRegionShares(seed uint64) *RegionShares {
	return &RegionShares{diffusion: newDiffusion(seed), factor: 1}
}

// Update implements Controller.
func (s *RegionShares) Update(st State, now time.Time) {
	s.factor = s.correction.update(s.lowestWait(st.Wait), st.Objective, s.shortage.Active, now)
	s.supply, s.asked = st.Supply*s.factor+st.Granted, st.asked()
	classes := s.mix.apply(st.Classes, now)
	reserved := 0.0
	for _, rate := range st.GrantedTo {
		reserved += rate
	}
	s.shortage.update(s.asked, s.supply+reserved, st, now)
	if s.shortage.Active {
		s.shares.Compute(classes, s.supply, st.GrantedTo)
	}
}

// lowestWait returns the wait of a request of the lowest priority, given the time until an
// endpoint has processed what is queued before it. Requests of higher priorities that arrive
// meanwhile are processed before it as well.
func (s *RegionShares) lowestWait(queued time.Duration) time.Duration {
	if !s.shortage.Active {
		return queued
	}
	return time.Duration(float64(queued) / max(1-s.shares.higherShare(), minLowestShare))
}

// Share implements Controller.
func (s *RegionShares) Share(c Class) float64 {
	if !s.shortage.Active {
		return 1
	}
	return s.shares.Fraction(c)
}

// Admit implements Controller.
func (s *RegionShares) Admit(c Class) bool { return s.diffusion.admit(c, s.Share(c)) }

// Figures are the inputs of a controller's decisions.
type Figures struct {
	Shortage Shortage
	Asked    float64 // rate
	Supply   float64 // corrected rate
	Factor   float64 // correction factor of the supply
}

// Figures returns the figures of the newest update.
func (s *RegionShares) Figures() Figures {
	return Figures{Shortage: s.shortage, Asked: s.asked, Supply: s.supply, Factor: s.factor}
}
