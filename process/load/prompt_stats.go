package load

const (
	// idleQuantile is the share of the observed times for a prompt token that is assumed to be below an idle
	// endpoint's time. Longer times include waits for other prompts and events. Shorter ones occur because more of
	// the prompt was cached than this host assumed.
	idleQuantile = 0.1
	// idleStep scales the relative change of the estimate by one observation, see observe. Some hundred
	// observations, which a busy host has in a few seconds, correct an initial value that is wrong by a factor of 3.
	idleStep = 0.1
	// minObservedTokens is the shortest prompt that shows how long a token takes. The times of shorter ones are
	// mostly round trips.
	minObservedTokens = 1000
)

// promptStats is what is known of how a service's endpoints process prompts.
type promptStats struct {
	idleTokenTime float64 // seconds that an idle endpoint takes for a prompt token
	cachedShare   average // share of a prompt's shared tokens that the endpoint had cached
}

func newPromptStats() promptStats {
	return promptStats{idleTokenTime: initialTokenSeconds / 10, cachedShare: average{value: 1}}
}

// observe updates idleTokenTime with the seconds to the first byte of a response, for which the endpoint processed
// the given number of tokens. It estimates a quantile of the time for a token by stochastic approximation (Robbins
// and Monro 1951).
func (p *promptStats) observe(tokens, seconds float64) {
	if tokens < minObservedTokens || seconds <= 0 {
		return
	}
	if seconds < p.idleTokenTime*tokens {
		p.idleTokenTime *= 1 - (1-idleQuantile)*idleStep
	} else {
		p.idleTokenTime *= 1 + idleQuantile*idleStep
	}
}

// observeCached updates cachedShare with how much of a prompt's shared part an endpoint had cached. all is the
// number of the prompt's tokens, uncached of those that the endpoint must process, and own of those in the prompt's
// last part, which no other request shares.
func (p *promptStats) observeCached(uncached, own, all int) {
	if all > own {
		p.cachedShare.observe(float64(all-uncached) / float64(all-own))
	}
}
