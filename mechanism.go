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
	Affinity       Mechanism = iota // prefer endpoints that have cached the request's prompt
	PromptMoves                     // let endpoints transfer KV caches from each other
	FarMoves                        // allow such transfers also from endpoints that this host doesn't call
	LastSent                        // transfer from the endpoint to which this host sent the session last
	KeptElsewhere                   // assume that remote data centres have cached as much of a prompt as this one
	PromptBacklog                   // count the prompts that an endpoint has not processed yet
	Pace                            // refuse streams that would end too late, so that the caller retries
	UrgentFirst                     // refuse less urgent streams earlier than more urgent ones
	Shedding                        // refuse streams that would begin too late for their caller
	Forwarding                      // forward requests to remote data centres
	Waiting                         // let requests queue on this host for capacity
	LastChance                      // try to forward a request that has waited in vain before refusing it
	Retries                         // retry requests where that is safe
	FailureCost                     // raise the cost of endpoints that fail more often than others
	Ejection                        // stop using endpoints that fail several times in a row
	Silence                         // stop using endpoints whose streams have all stalled
	AdaptiveLimits                  // adapt the limit of requests in flight to an endpoint's responses
	WarmUp                          // increase the share of load gradually for endpoints that return
	HoldingBack                     // quarantine requests that make endpoints crash
	RateLimits                      // keep to the rate limits that endpoints advertise
)

var mechanismNames = [...]string{
	"affinity", "prompt-moves", "far-moves", "last-sent", "kept-elsewhere", "prompt-backlog", "pace", "urgent-first",
	"shedding", "forwarding", "waiting", "last-chance", "retries", "failure-cost", "ejection",
	"silence", "adaptive-limits", "warm-up", "holding-back", "rate-limits",
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
