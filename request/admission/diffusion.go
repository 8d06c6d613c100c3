package admission

import (
	"github.com/cespare/xxhash/v2"
)

// maxDiffusions bounds the classes whose error is kept; callers choose how many there are.
const maxDiffusions = 1024

// diffusion admits a fraction of the requests of each class one after the other: the error of
// each decision is carried over to the next. Of few requests, the number admitted then differs
// from the fraction by less than one, where a random choice would differ by more.
type diffusion struct {
	seed   uint64
	errors map[Class]float64
}

func newDiffusion(seed uint64) diffusion { return diffusion{seed: seed, errors: map[Class]float64{}} }

// admit decides on the next request of a class of which a fraction is admitted.
func (d *diffusion) admit(c Class, fraction float64) bool {
	if fraction >= 1 {
		return true
	}
	carried, known := d.errors[c]
	if !known {
		if len(d.errors) >= maxDiffusions {
			clear(d.errors)
		}
		carried = d.start(c)
	}
	carried += fraction
	admitted := carried >= 1
	if admitted {
		carried--
	}
	d.errors[c] = carried
	return admitted
}

// start returns the first error of a class, evenly distributed over hosts and classes. With the
// same start, all hosts would refuse the first request of each class.
func (d *diffusion) start(c Class) float64 {
	h := xxhash.Sum64String(c.Workspace) ^ d.seed ^ uint64(uint8(c.Priority))<<1
	if c.Return {
		h ^= 1
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd // a multiplier that spreads the bits, as in the finalizer of MurmurHash3
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}
