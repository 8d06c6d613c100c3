package admission

import "time"

// shortageEnd is how long demand must fit the supply, or no request be queued, until a shortage
// ends. It is the window over which demand is measured.
const shortageEnd = time.Second

// Shortage is the state of a shortage: demand exceeds supply, and requests are queued.
type Shortage struct {
	Active   bool
	Since    time.Time // when Active last changed
	lastTrue time.Time
}

// update updates the state by the demand, the supply and the number of queued requests.
func (s *Shortage) update(asked, supply float64, queued int, now time.Time) {
	if supply > 0 && asked > supply && queued > 0 {
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
