package settings

import "math"

const (
	// requestLinkBits is the mean traffic of a request and its response on a host's link, in
	// bits in each direction, for prompts of some thousand tokens.
	requestLinkBits = 11 * 1024 * 8
	// requestCoreSeconds is the processor time that a host needs for a request, in seconds of one
	// core.
	requestCoreSeconds = 0.0002
)

// Capacity returns the number of requests a second that the host's link and processor can
// handle; 0 if the settings give neither.
func (l Limits) Capacity() uint32 {
	capacity := math.Inf(1)
	if l.Link > 0 {
		capacity = min(capacity, l.Link*1e6/requestLinkBits)
	}
	if l.Processor > 0 {
		capacity = min(capacity, l.Processor/requestCoreSeconds)
	}
	if math.IsInf(capacity, 1) {
		return 0
	}
	return uint32(max(1, min(capacity, math.MaxUint32)))
}
