package lists

import "time"

const (
	// registerDuty names the duty to stand in the platform's list of hosts.
	registerDuty = "registered"
	// registered is how many hosts of a data centre are listed: a starting host finds
	// the others through one of them, and cold endpoints are given to four of a region.
	registered = 3
)

// Registers says whether this host is to be listed by the platform.
func (l *Lists) Registers() bool {
	now := time.Now()
	if now.Sub(l.born) < settleTime {
		return false
	}
	_, before := l.cfg.Hosts.Rank(registerDuty, now)
	return before < registered
}
