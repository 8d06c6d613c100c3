package schema

import (
	"math"
	"time"

	"vetchtrail"
)

const (
	// maxPlannedReturns bounds the planned returns of one service that a message may have: a
	// host plans for at most 8 priorities, 8 slots each.
	maxPlannedReturns = 64
	// maxReturnMillis bounds how far ahead they may be, in milliseconds. Refusals advertise no
	// longer delay.
	maxReturnMillis = 30_000
)

// FromPlannedReturns returns the messages for returns that this host has planned. Their times
// are sent as differences from now.
func FromPlannedReturns(list []vetchtrail.PlannedReturn, now time.Time) []*PlannedReturns {
	out := make([]*PlannedReturns, 0, len(list))
	for _, p := range list[:min(len(list), maxPlannedReturns)] {
		millis := min(max(p.At.Sub(now).Milliseconds(), 0), maxReturnMillis)
		out = append(out, &PlannedReturns{Priority: int32(p.Priority), InMillis: uint32(millis), Work: uint32(min(max(p.Work, 0), math.MaxUint32))})
	}
	return out
}

// ToPlannedReturns returns the planned returns of messages that arrived now. It leaves out
// those with an invalid priority or time, and those over the bound for one service.
func ToPlannedReturns(list []*PlannedReturns, now time.Time) []vetchtrail.PlannedReturn {
	out := make([]vetchtrail.PlannedReturn, 0, min(len(list), maxPlannedReturns))
	for _, m := range list[:min(len(list), maxPlannedReturns)] {
		if m.GetPriority() < math.MinInt8 || m.GetPriority() > math.MaxInt8 || m.GetInMillis() > maxReturnMillis {
			continue
		}
		out = append(out, vetchtrail.PlannedReturn{
			Priority: int8(m.GetPriority()), At: now.Add(time.Duration(m.GetInMillis()) * time.Millisecond), Work: float64(m.GetWork()),
		})
	}
	return out
}
