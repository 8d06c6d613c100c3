package vetchtrail

import (
	"context"
	"time"
)

// Quota bounds what all hosts together run for a workspace.
type Quota struct {
	Rate  float64 // units a second; 0: there is no bound
	Burst float64 // units at once beside it
	Unit  QuotaUnit
	// Plain is what a request counts that names no tokens, where tokens are counted.
	Plain float64
}

// Bounded says whether there is a bound.
func (q Quota) Bounded() bool { return q.Rate > 0 }

// Charge returns how many units a request counts.
func (q Quota) Charge(r *Request) float64 {
	switch told := r.Tokens + r.MostTokens; {
	case q.Unit == UnitRequests:
		return 1
	case told > 0:
		return float64(told)
	}
	return q.Plain
}

// QuotaUnit is what a quota counts.
type QuotaUnit uint8

// Units of quotas.
const (
	UnitRequests QuotaUnit = iota
	UnitTokens             // of the prompt, and the most that the answer may have
)

var quotaUnitNames = [...]string{"requests", "tokens"}

// String returns the unit in lower case.
func (u QuotaUnit) String() string { return nameOf(quotaUnitNames[:], int(u)) }

// ParseQuotaUnit reads the name of a unit.
func ParseQuotaUnit(s string) (QuotaUnit, bool) {
	for i, n := range quotaUnitNames {
		if n == s {
			return QuotaUnit(i), true
		}
	}
	return 0, false
}

// Quotas keep what all hosts together run for a workspace within its quota.
type Quotas interface {
	// Take takes the charge of a request that is about to run. It waits for other hosts
	// some milliseconds at most.
	Take(ctx context.Context, workspace string, charge float64) QuotaVerdict
	// Return gives back a charge whose request did not run.
	Return(workspace string, charge float64)
}

// QuotaVerdict is the answer to a charge.
type QuotaVerdict struct {
	Granted bool
	RetryAt time.Time     // not granted: when there is room
	Left    float64       // units left to this host
	Region  float64       // units left in the region, as last told
	Age     time.Duration // of what the region was last told of the others; negative: nothing
}
