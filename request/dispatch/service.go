package dispatch

import (
	"vetchtrail/request/budget"
	"vetchtrail/request/queue"
)

// SetBudget replaces the bounds on further attempts. What was spent still counts.
func (d *Dispatcher) SetBudget(c budget.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg.Budget = c
	for _, b := range d.budgets {
		b.Set(c)
	}
}

func (d *Dispatcher) line(service string) *queue.Line {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.lines[service]
	if !ok {
		l = queue.New(func() <-chan struct{} { return d.cfg.Table.Freed(service) })
		d.lines[service] = l
	}
	return l
}

func (d *Dispatcher) budget(service string) *budget.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.budgets[service]
	if !ok {
		b = budget.New(d.cfg.Budget)
		d.budgets[service] = b
	}
	return b
}
