package dispatch

import (
	"time"

	"vetchtrail"
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
		b.Set(c, time.Now())
	}
}

// queueKey identifies a queue. The rest of a stream waits for endpoints of one software version, so it
// has a queue apart: requests that any endpoint may run must not wait behind it.
type queueKey struct {
	service string
	version vetchtrail.StreamVersion
}

// waitQueue returns the queue of the requests that wait for the capacity that r needs.
func (d *Dispatcher) waitQueue(r *vetchtrail.Request) *queue.Queue {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := queueKey{r.Service, r.StreamVersion}
	q, ok := d.waitQueues[key]
	if !ok {
		q = queue.New(func() <-chan struct{} { return d.cfg.Endpoints.CapacityFreed(key.service) })
		d.waitQueues[key] = q
	}
	return q
}

// takeRetry takes a retry from the budget of the request's service and records the decision. attempt is the number
// of the attempt that failed; 0: it is still in progress.
func (d *Dispatcher) takeRetry(r *vetchtrail.Request, attempt int) bool {
	now, b := time.Now(), d.budget(r.Service)
	before := b.State(now)
	ok := b.TakeRetry(now)
	r.RetryUnsent = ok
	if !ok && attempt == 0 {
		return false // not recorded: an attempt at a silent endpoint asks again every fraction of a second
	}
	d.cfg.Journal.Record(vetchtrail.JournalRecord{
		At: now, Request: r.ID, Service: r.Service, Route: r.Route, Attempt: attempt,
		Retry: &vetchtrail.RetryDecision{Made: ok, Requests: before.Requests, Retries: before.Retries, Left: before.Left, Hosts: before.Hosts},
	})
	return ok
}

// retrySent counts the retry that was taken for a request, if there is one, as sent now.
func (d *Dispatcher) retrySent(r *vetchtrail.Request) {
	if r.RetryUnsent && r.Hops == 0 {
		r.RetryUnsent = false
		d.budget(r.Service).RetrySent(time.Now())
	}
}

// returnRetry gives back the retry that was taken for a request, if it was not sent.
func (d *Dispatcher) returnRetry(r *vetchtrail.Request) {
	if r.RetryUnsent && r.Hops == 0 {
		r.RetryUnsent = false
		d.budget(r.Service).ReturnRetry()
	}
}

// budget returns the retry budget of a service.
func (d *Dispatcher) budget(service string) *budget.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.budgets[service]
	if !ok {
		b = budget.New(d.cfg.RetryBudget)
		exposeBudget(service, b)
		d.budgets[service] = b
	}
	return b
}
