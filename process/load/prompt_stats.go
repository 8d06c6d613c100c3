package load

const (
	// idleQuantile is the share of the observed reading times that is assumed to be below an idle endpoint's.
	// Longer times include waits for other prompts and events. Shorter ones occur because more of the prompt was
	// cached than this host assumed.
	idleQuantile = 0.1
	// idleStep scales the relative change of the estimate by one observation, see observe. Some hundred
	// observations, which a busy host has in a few seconds, correct an initial value that is wrong by a factor of 3.
	idleStep = 0.1
	// minObservedTokens is the shortest prompt that shows how long a token takes. The times of shorter ones are
	// mostly round trips.
	minObservedTokens = 1000
)

// promptStats is what is known of how a service's endpoints read prompts.
type promptStats struct {
	idleTokenTime float64 // seconds that an idle endpoint takes for a token
	cachedShare   average // share of a prompt's shared tokens that the endpoint had cached
}

func newPromptStats() promptStats {
	return promptStats{idleTokenTime: initialTokenSeconds / 10, cachedShare: average{value: 1}}
}

// observe learns from the seconds to the first byte of an answer. It estimates a quantile of the time for a
// token by stochastic approximation (Robbins and Monro 1951).
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

// observeCached learns how much of a prompt's shared part an endpoint had cached. all is the number of
// the prompt's tokens, unread of those that were still to be read, and own of those in its last part, which no
// other request shares.
func (p *promptStats) observeCached(unread, own, all int) {
	if all > own {
		p.cachedShare.observe(float64(all-unread) / float64(all-own))
	}
}
