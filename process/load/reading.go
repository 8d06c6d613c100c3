package load

const (
	// idleQuantile is the part of the observed reading times that lie below the one
	// of an idle endpoint: the rest waited for other prompts and events. Some lie below
	// because more of a prompt was kept than known.
	idleQuantile = 0.1
	// idleStep is how much one observation moves the estimate: some hundred, a few
	// seconds of a busy host, make up for a first guess that is wrong by a factor of 3.
	idleStep = 0.1
	// idleTokens is the least prompt that tells how long a token takes: shorter ones
	// tell of round trips.
	idleTokens = 1000
)

// reading is what is learnt of the reading of prompts by a service's endpoints.
type reading struct {
	idle float64 // seconds that an idle endpoint takes for a token
	kept average // part of the shared tokens of a prompt that needn't be read
}

func newReading() reading {
	return reading{idle: firstPrefill / 10, kept: average{value: 1}}
}

// observe learns from the time to the first of an answer: a quantile of the time
// that a token takes, by stochastic approximation (Robbins and Monro 1951).
func (r *reading) observe(tokens, seconds float64) {
	if tokens < idleTokens || seconds <= 0 {
		return
	}
	if seconds < r.idle*tokens {
		r.idle *= 1 - (1-idleQuantile)*idleStep
	} else {
		r.idle *= 1 + idleQuantile*idleStep
	}
}

// observeKept learns how much of the shared part of a prompt an endpoint held.
func (r *reading) observeKept(unread, own, all int) {
	if all > own {
		r.kept.observe(float64(all-unread) / float64(all-own))
	}
}
