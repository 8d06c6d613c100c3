package returns

import (
	"time"

	"vetchtrail"
)

const (
	// reservedShare is the share of the supply that is reserved for returns while first
	// attempts ask for all of it. Each return then displaces a first attempt, whose caller has
	// to return in turn, so most of the supply stays with first attempts.
	reservedShare = 0.25
	// lateShare is the part of the supply that returns may use which will miss their latency
	// objective. A first attempt that they displace could have met its objective. It is the
	// share that admission leaves to each priority.
	lateShare = 0.1
	// trustedAge is the age up to which the measured demand is used as it is. Hosts count
	// measurements of each other up to this age. With older ones, such as those of a host that
	// hears from no other, the rates fall in proportion to the age.
	trustedAge = 3 * time.Second
)

// Rates are the rates at which a host may plan returns of one priority, in tokens per second.
type Rates struct {
	InObjective float64 // of returns that can meet their latency objective, in addition to Any
	Any         float64 // of all returns
}

// HostRates returns the rates for one of the hosts of a region. Returns of a priority get what
// is expected to be left of the supply by first attempts, at least the reserved share, less
// the work of higher priorities: what of it is admitted, and what is refused and so returns.
func HostRates(d *vetchtrail.ServiceDemand, priority int8) Rates {
	var asked, admittedAbove, refusedAbove float64
	for i := range d.Classes {
		c := &d.Classes[i]
		if c.Return {
			continue
		}
		asked += c.Asked
		if c.Priority > priority {
			admittedAbove += c.Admitted
			refusedAbove += max(c.Asked-c.Admitted, 0)
		}
	}
	trust := float64(trustedAge) / float64(max(d.Age, trustedAge))
	rate := func(share float64) float64 {
		free := max(d.Supply-asked, share*d.Supply) - refusedAbove
		return trust * max(min(free, d.Supply-admittedAbove), 0) / float64(max(d.Hosts, 1))
	}
	anyReturn := rate(lateShare)
	return Rates{InObjective: rate(reservedShare) - anyReturn, Any: anyReturn}
}

// Short returns whether callers ask for more of a service than its endpoints can process.
func Short(d *vetchtrail.ServiceDemand) bool {
	asked := 0.0
	for i := range d.Classes {
		asked += d.Classes[i].Asked
	}
	return asked > d.Supply
}
