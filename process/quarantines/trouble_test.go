package quarantines

import "time"

// trouble is what happens to the fleet at a moment.
type trouble struct {
	After time.Duration // the one before
	Kind  string
	At    int // host, region
	For   time.Duration
}

// play has the deadly request come again and again beside troubles.
func (f *fleet) play(troubles []trouble, every, length time.Duration) {
	go func() {
		for _, x := range troubles {
			time.Sleep(x.After)
			f.befall(x)
		}
	}()
	for began := time.Now(); time.Since(began) < length; {
		f.hosts[f.draw(len(f.hosts))].ask(deadlyRequest(), true)
		time.Sleep(every)
	}
}

// befall brings a trouble about, and ends it.
func (f *fleet) befall(x trouble) {
	h := f.hosts[x.At]
	switch x.Kind {
	case "cut":
		f.locked(func() { f.cut[h.region] = true })
		time.Sleep(x.For)
		f.locked(func() { f.cut[h.region], f.calm = false, time.Now() })
	case "kill":
		if _, up := h.isUp(); up {
			h.kill()
			time.Sleep(min(x.For, time.Second))
			h.start()
		}
	case "suspend":
		h.suspend(x.For)
	case "kill all":
		for _, h := range f.hosts {
			if _, up := h.isUp(); up {
				h.kill()
			}
		}
		time.Sleep(500 * time.Millisecond)
		for _, h := range f.hosts {
			if _, up := h.isUp(); !up {
				h.start()
			}
		}
	}
}
