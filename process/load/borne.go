package load

const (
	// borneStep is how much one observation moves the part: some hundred streams, a few
	// seconds of a busy host, make up for a first guess that is wrong by a factor of 3.
	borneStep = 0.02
	// borneLeast and borneMost bound the part: beyond them predictions say nothing.
	borneLeast = 0.1
	borneMost  = 2.0
)

// borne is how predictions of the time to the first of a stream are borne out: the part of
// it that passes in the median. Predictions are means, of which a few long waits make up
// most, and each host of many adds what it doesn't know of the others' requests: with hundreds of hosts
// streams begin several times sooner than predicted.
type borne struct{ part float64 }

// observe learns from a stream that began: a median by stochastic approximation (Robbins
// and Monro 1951).
func (b *borne) observe(predicted, seconds float64) {
	if predicted <= 0 || seconds <= 0 {
		return
	}
	if seconds < b.part*predicted {
		b.part *= 1 - borneStep
	} else {
		b.part *= 1 + borneStep
	}
	b.part = min(max(b.part, borneLeast), borneMost)
}
