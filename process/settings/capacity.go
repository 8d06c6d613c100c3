package settings

import "math"

const (
	// requestBits is what a request and its answer take of a host's link in the mean, each way, with
	// prompts of some thousand tokens.
	requestBits = 11 * 1024 * 8
	// requestTime is what a request takes of a host's processor, in seconds.
	requestTime = 0.0002
)

// Capacity returns the requests a second that the host can take by its link and its
// processor; 0: the settings tell neither.
func (l Limits) Capacity() uint32 {
	least := math.Inf(1)
	if l.Link > 0 {
		least = min(least, l.Link*1e6/requestBits)
	}
	if l.Processor > 0 {
		least = min(least, l.Processor/requestTime)
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return uint32(max(1, min(least, math.MaxUint32)))
}
