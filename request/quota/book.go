package quota

import "time"

// Book is what a region's keeper knows of the demand for one workspace in the regions.
//
// Each region's part is its claim and an equal share of what nobody claims. A claim that
// grew counts for its own region once all others know of it, one that shrank at once, and
// at the others as they hear of it. So whatever is late, lost or cut off, the parts that
// the regions use never add up to more than the rate.
type Book struct {
	regions int // of the deployment, this one too
	others  map[string]*other
}

// other is another region.
type other struct {
	keepers map[string]told // that spoke for it, by host
	heard   time.Time
	knows   float64 // the highest claim of this region that it surely knows
	known   bool    // it knows of one at all
}

// told is a claim as its keeper told it.
type told struct {
	rate     float64
	sequence uint64
	at       time.Time
}

// keeperGone is how long two keepers of a region may both count, as hosts disagree on who
// keeps while one of them is new or lost.
const keeperGone = 2 * time.Second

// NewBook returns a book that knows of no other region yet.
func NewBook(regions int) *Book { return &Book{regions: max(1, regions), others: map[string]*other{}} }

func (b *Book) other(region string) *other {
	o, ok := b.others[region]
	if !ok {
		o = &other{keepers: map[string]told{}}
		b.others[region] = o
	}
	return o
}

// Telling notes that a claim is on its way to a region, which may believe it from now on.
func (b *Book) Telling(region string, rate float64) {
	if o := b.other(region); o.known {
		o.knows = min(o.knows, rate)
	}
}

// Told notes that a region has confirmed a claim.
func (b *Book) Told(region string, rate float64) {
	o := b.other(region)
	o.knows, o.known = rate, true
}

// Hear takes the claim of another region's keeper, unless a newer one is held.
func (b *Book) Hear(region, keeper string, sequence uint64, rate float64, now time.Time) {
	o := b.other(region)
	if held, ok := o.keepers[keeper]; ok && sequence <= held.sequence {
		return
	}
	o.keepers[keeper] = told{rate: rate, sequence: sequence, at: now}
	o.heard = now
	for name, k := range o.keepers {
		if now.Sub(k.at) > keeperGone {
			delete(o.keepers, name)
		}
	}
}

// Part returns the units a second that this region may use of a rate, while its callers
// ask for so many.
func (b *Book) Part(rate, demand float64) float64 {
	equal := rate / float64(b.regions)
	own, sum := demand, 0.0
	unknown := b.regions - 1
	for _, o := range b.others {
		if !o.known || len(o.keepers) == 0 {
			continue
		}
		unknown--
		own = min(own, o.knows)
		for _, k := range o.keepers {
			sum += k.rate
		}
	}
	if unknown > 0 && unknown == b.regions-1 {
		return equal // as all others take this region to do
	}
	if unknown > 0 { // they may use their equal parts, and take this region to do the same
		own = min(own, equal)
		sum += equal * float64(unknown)
	}
	if own+sum >= rate {
		if own+sum == 0 {
			return 0
		}
		return min(rate, rate*own/(own+sum)) // rounded, it may lie above the rate
	}
	return own + (rate-own-sum)/float64(b.regions)
}

// Age is how long ago the region was heard of that has been silent for the longest;
// negative: one was never heard of.
func (b *Book) Age(now time.Time) time.Duration {
	if len(b.others) < b.regions-1 {
		return -1
	}
	var oldest time.Duration
	for _, o := range b.others {
		if len(o.keepers) == 0 {
			return -1
		}
		oldest = max(oldest, now.Sub(o.heard))
	}
	return oldest
}
