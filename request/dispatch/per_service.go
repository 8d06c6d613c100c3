package dispatch

import (
	"vetchtrail/request/budget"
	"vetchtrail/request/queue"
)

// SetRetryBudget replaces the settings of all services' retry budgets. The budgets keep
// their counts unless the length of the window changes.
func (d *Dispatcher) SetRetryBudget(c budget.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg.RetryBudget = c
	for _, b := range d.budgets {
		b.Set(c)
	}
}

// waitQueue returns the queue of a service's requests that wait for capacity.
func (d *Dispatcher) waitQueue(service string) *queue.Queue {
	d.mu.Lock()
	defer d.mu.Unlock()
	q, ok := d.waitQueues[service]
	if !ok {
		q = queue.New(func() <-chan struct{} { return d.cfg.Endpoints.CapacityFreed(service) })
		d.waitQueues[service] = q
	}
	return q
}

// budget returns the retry budget of a service.
func (d *Dispatcher) budget(service string) *budget.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.budgets[service]
	if !ok {
		b = budget.New(d.cfg.RetryBudget)
		d.budgets[service] = b
	}
	return b
}
