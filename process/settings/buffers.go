package settings

import "vetchtrail"

// memoryDivisor is the part of the process's memory that buffers may use under pressure. The rest
// holds the configuration, the listing, connections and what the collector has not freed yet.
const memoryDivisor = 4

// responseDivisor is the part of the process's memory that responses may use that are held whole, where other buffers have
// no bound. Each of them is copied for its caller.
const responseDivisor = 8

// MemoryBytes returns the memory for the process in bytes; 0: unbounded.
func (l Limits) MemoryBytes() int64 { return int64(l.Memory) * bytesPerMB }

// BufferBound returns the bound in bytes on what is buffered for all connections together; 0:
// unbounded. pressure is whether the deployment asks for the bound without a setting of its own;
// then it is a part of the memory.
func (s *Settings) BufferBound(pressure bool) int {
	switch {
	case vetchtrail.MechanismsOf(s.SwitchedOff...).Has(vetchtrail.MechanismBufferLimits):
		return 0
	case s.Limits.Buffers > 0:
		return s.Limits.Buffers * bytesPerMB
	case pressure:
		return s.Limits.Memory * bytesPerMB / memoryDivisor
	}
	return 0
}

// ResponseBound returns the bound in bytes on the responses that are held whole where BufferBound is 0; 0: unbounded.
func (s *Settings) ResponseBound() int {
	if vetchtrail.MechanismsOf(s.SwitchedOff...).Has(vetchtrail.MechanismBufferLimits) {
		return 0
	}
	return s.Limits.Memory * bytesPerMB / responseDivisor
}
