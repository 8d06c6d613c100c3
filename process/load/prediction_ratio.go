package load

const (
	// predictionRatioStep is the relative change of the ratio by one observation. Some hundred streams, which a
	// busy host has in a few seconds, correct an initial value that is wrong by a factor of 3.
	predictionRatioStep = 0.02
	// minPredictionRatio and maxPredictionRatio bound the ratio. Beyond them predictions are of no use.
	minPredictionRatio = 0.1
	maxPredictionRatio = 2.0
)

// predictionRatio is the median ratio of observed to predicted times to a stream's first byte. It corrects
// predictions, which are too long for most streams: a prediction is a mean, and a few long waits make up most of
// it. Each host also adds an estimate for the requests of other hosts. With hundreds of hosts streams begin several
// times sooner than predicted.
type predictionRatio struct{ median float64 }

// observe updates the ratio with the times to a stream's first byte, both in seconds. It estimates the median by
// stochastic approximation (Robbins and Monro 1951).
func (r *predictionRatio) observe(predicted, observed float64) {
	if predicted <= 0 || observed <= 0 {
		return
	}
	if observed < r.median*predicted {
		r.median *= 1 - predictionRatioStep
	} else {
		r.median *= 1 + predictionRatioStep
	}
	r.median = min(max(r.median, minPredictionRatio), maxPredictionRatio)
}
