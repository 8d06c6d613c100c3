package admission

import "time"

// shortageEnd is how long demand must fit the supply, or no request be queued, until a shortage
// ends. It is the window over which demand is measured.
const shortageEnd = time.Second

// shortWaitShare is the mean wait of the lowest priority from which a shortage may begin, as a
// share of its latency objective. Endpoints that have enough capacity queue requests too, as each
// prompt waits for those that arrived just before it.
const shortWaitShare = 0.25

// Shortage is the state of a shortage: demand exceeds supply, and requests wait.
type Shortage struct {
	Active   bool
	Since    time.Time // when Active last changed
	lastTrue time.Time
}

// update updates the state by the demand, the supply and the queues in st.
func (s *Shortage) update(asked, supply float64, st State, now time.Time) {
	// While it lasts, admission keeps the waits short, so only its beginning depends on them.
	long := s.Active || st.Wait.Seconds() >= shortWaitShare*st.Objective.Seconds()
	if supply > 0 && asked > supply && st.Queued > 0 && long {
		s.lastTrue = now
		if !s.Active {
			s.Active, s.Since = true, now
		}
		return
	}
	if s.Active && now.Sub(s.lastTrue) >= shortageEnd {
		s.Active, s.Since = false, now
	}
}
