package quarantines

import "time"

// fault is a fault injected into the fleet.
type fault struct {
	After time.Duration // time since the previous fault
	Kind  string
	Host  int           // index of the host; a partition affects its region
	For   time.Duration // how long it lasts; a killed host is down for a second at most
}

// run sends the poison request to random hosts again and again, while faults are injected.
func (f *fleet) run(faults []fault, interval, length time.Duration) {
	go func() {
		for _, next := range faults {
			time.Sleep(next.After)
			f.inject(next)
		}
	}()
	for began := time.Now(); time.Since(began) < length; {
		f.hosts[f.random(len(f.hosts))].request(poisonRequest(), true)
		time.Sleep(interval)
	}
}

// inject starts a fault, waits and ends it.
func (f *fleet) inject(next fault) {
	h := f.hosts[next.Host]
	switch next.Kind {
	case "partition":
		f.locked(func() { f.partitioned[h.region] = true })
		time.Sleep(next.For)
		f.locked(func() { f.partitioned[h.region], f.recoveredAt = false, time.Now() })
	case "kill":
		if _, up := h.running(); up {
			h.kill()
			time.Sleep(min(next.For, time.Second))
			h.start()
		}
	case "suspend":
		h.suspend(next.For)
	case "kill all":
		for _, h := range f.hosts {
			if _, up := h.running(); up {
				h.kill()
			}
		}
		time.Sleep(500 * time.Millisecond)
		for _, h := range f.hosts {
			if _, up := h.running(); !up {
				h.start()
			}
		}
	}
}
