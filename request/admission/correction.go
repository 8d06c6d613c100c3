package admission

import (
	"math"
	"time"
)

const (
	// targetShare is the mean wait of the lowest priority that admission allows, as a share of
	// its latency objective. The other half is for the variation between endpoints and for the
	// request's own prompt.
	targetShare = 0.5
	// maxCorrection bounds the correction factor either way.
	maxCorrection = 2.0
	// proportional is the relative change of the supply by a wait that differs from the target by
	// as much as the target. It damps the queue: without it, queue and factor would oscillate.
	proportional = 0.4
	// lowerRate and raiseRate are the relative changes of the factor per second at such a
	// difference. Waits and demand are measured over a second, and a faster change would
	// overshoot. A queue costs more requests than unused supply, so lowering is faster.
	lowerRate = 0.3
	raiseRate = 0.1
	// maxCorrectionStep bounds the time since the last update that counts.
	maxCorrectionStep = time.Second
)

// correction corrects the estimate of a supply by the measured queue.
type correction struct {
	factor float64 // without the proportional part; 0: 1
	at     time.Time
}

// update returns the factor of the supply. Without a shortage, the factor is at most 1: an
// idle service shows nothing about its supply.
func (c *correction) update(wait, objective time.Duration, shortage bool, now time.Time) float64 {
	if c.factor == 0 {
		c.factor = 1
	}
	elapsed := min(now.Sub(c.at), maxCorrectionStep)
	c.at = now
	if objective <= 0 || elapsed <= 0 {
		return c.factor
	}
	target := targetShare * objective.Seconds()
	deviation := max(-1, min(1, (target-wait.Seconds())/target))
	rate := raiseRate
	if deviation < 0 {
		rate = lowerRate
	}
	most := maxCorrection
	if !shortage {
		most = 1
	}
	c.factor = min(max(c.factor*math.Exp(rate*deviation*elapsed.Seconds()), 1/maxCorrection), most)
	return min(max(c.factor*(1+proportional*deviation), 1/maxCorrection), most)
}
