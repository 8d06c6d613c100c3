package vetchtrail

import (
	"strings"

	"github.com/go-faster/errors"
)

// Mechanism is a feature of request routing that can be switched off to measure its effect.
// All are on unless the settings switch them off.
type Mechanism uint8

// Mechanisms.
const (
	MechanismAffinity             Mechanism = iota // prefer endpoints that have cached the request's prompt
	MechanismCacheTransfer                         // let endpoints transfer KV caches from each other
	MechanismRemoteCacheTransfer                   // allow such transfers also from endpoints that this host doesn't call
	MechanismTransferFromLastSent                  // transfer from the endpoint to which this host sent the session last
	MechanismRemoteCacheEstimate                   // assume that remote data centres have cached as much of a prompt as this one
	MechanismPromptBacklog                         // count the prompts that an endpoint has not processed yet
	MechanismStreamPace                            // refuse streams that would end too late, so that the caller retries
	MechanismUrgentFirst                           // refuse less urgent streams earlier than more urgent ones
	MechanismShedding                              // refuse streams that would miss their objective at the first attempt, or begin after their caller gave up
	MechanismForwarding                            // forward requests to remote data centres
	MechanismQueueing                              // let requests queue on this host for capacity
	MechanismForwardAfterWait                      // try to forward a request that has waited in vain before refusing it
	MechanismRetries                               // retry requests where that is safe
	MechanismFailureCost                           // raise the cost of endpoints that fail more often than others
	MechanismEjection                              // stop using endpoints that fail several times in a row
	MechanismSilence                               // stop using endpoints whose streams have all stalled
	MechanismAdaptiveLimits                        // adapt the limit of requests in flight to an endpoint's responses
	MechanismWarmUp                                // increase the share of load gradually for endpoints that return
	MechanismQuarantine                            // quarantine requests that make endpoints crash
	MechanismRateLimits                            // keep to the rate limits that endpoints advertise
	MechanismFinalAttempts                         // don't end attempts that no other can replace, nor count those at ended processes
	MechanismAdmission                             // admit shares of the demand while a service is short of capacity
	MechanismPlannedReturns                        // plan when the callers of refused requests retry
	MechanismUnevenEndpoints                       // predict by the slowdown that endpoints report and by their speed
	MechanismBufferLimits                          // bound the bytes buffered for callers and endpoints that read slowly
	MechanismGrants                                // let admission count on the spare supply of other regions
)

var mechanismNames = [...]string{
	"affinity", "prompt-moves", "far-moves", "last-sent", "kept-elsewhere", "prompt-backlog", "pace", "urgent-first",
	"shedding", "forwarding", "waiting", "last-chance", "retries", "failure-cost", "ejection",
	"silence", "adaptive-limits", "warm-up", "holding-back", "rate-limits",
	"final-attempts", "admission", "planned-returns", "uneven-endpoints", "buffer-limits",
	"grants",
}

// String returns the mechanism's name in the settings.
func (m Mechanism) String() string { return nameAt(mechanismNames[:], int(m)) }

// MarshalText implements encoding.TextMarshaler.
func (m Mechanism) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for an unknown name.
func (m *Mechanism) UnmarshalText(text []byte) error {
	for i, name := range mechanismNames {
		if name == string(text) {
			*m = Mechanism(i)
			return nil
		}
	}
	return errors.Errorf("no such mechanism: they are %s", strings.Join(mechanismNames[:], ", "))
}

// Mechanisms is a set of mechanisms with one bit for each.
type Mechanisms uint32

// MechanismsOf returns the set of the given mechanisms.
func MechanismsOf(list ...Mechanism) Mechanisms {
	var s Mechanisms
	for _, m := range list {
		s |= 1 << m
	}
	return s
}

// Has returns whether the set contains a mechanism.
func (s Mechanisms) Has(m Mechanism) bool { return s&(1<<m) != 0 }
