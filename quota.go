package vetchtrail

import (
	"context"
	"time"
)

// Quota limits what all hosts together run for a workspace.
type Quota struct {
	Rate  float64 // units per second; 0: no limit
	Burst float64 // units allowed at once in addition to the rate
	Unit  QuotaUnit
	// Plain is the cost of a request without token counts when the unit is tokens.
	Plain float64
}

// IsLimited returns whether there is a limit.
func (q Quota) IsLimited() bool { return q.Rate > 0 }

// Cost returns the cost of a request in quota units.
func (q Quota) Cost(r *Request) float64 {
	switch tokens := r.EstimatedTokens + r.MaxTokens; {
	case q.Unit == UnitRequests:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return q.Plain
}

// QuotaUnit is the unit that a quota counts.
type QuotaUnit uint8

// Units of quotas.
const (
	UnitRequests QuotaUnit = iota
	UnitTokens             // tokens of the prompt plus the maximum tokens of the response
)

var quotaUnitNames = [...]string{"requests", "tokens"}

// String returns the unit in lower case.
func (u QuotaUnit) String() string { return nameAt(quotaUnitNames[:], int(u)) }

// ParseQuotaUnit parses the name of a unit.
func ParseQuotaUnit(s string) (QuotaUnit, bool) {
	for i, n := range quotaUnitNames {
		if n == s {
			return QuotaUnit(i), true
		}
	}
	return 0, false
}

// QuotaLimiter keeps what all hosts together run for a workspace within its quota.
type QuotaLimiter interface {
	// Take takes the cost of a request that is about to run from the workspace's quota. It
	// waits at most some milliseconds for other hosts.
	Take(ctx context.Context, workspace string, cost float64) QuotaVerdict
	// Return gives back the cost of a request that did not run.
	Return(workspace string, cost float64)
}

// QuotaVerdict is the result of QuotaLimiter.Take.
type QuotaVerdict struct {
	Granted    bool
	RetryAt    time.Time     // when not granted: when the quota allows the request
	HostLeft   float64       // units left to this host
	RegionLeft float64       // units left in the region, as last reported
	ReportAge  time.Duration // time since the report of the region that has been silent longest; negative: a region has never reported
}
