package lists

import "time"

const (
	// registerTask is the task of being registered in the platform's list of hosts. All hosts
	// hash this text to rank themselves for the task, so it must not change.
	registerTask = "registered"
	// registeredHosts is how many hosts of a data centre register with the platform. A
	// starting host finds the others through one of them, and four registered hosts of a
	// region share the request rate of an endpoint in its cold start.
	registeredHosts = 3
)

// ShouldRegister reports whether this host is to be registered with the platform: whether it has
// settled and is among the first registeredHosts of its data centre for that task.
func (l *Lists) ShouldRegister() bool {
	now := time.Now()
	if now.Sub(l.startedAt) < settleTime {
		return false
	}
	_, before := l.cfg.Hosts.Rank(registerTask, now)
	return before < registeredHosts
}
