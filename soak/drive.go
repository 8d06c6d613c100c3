package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"vetchtrail/standin/client"
	"vetchtrail/standin/deployment"
)

const (
	askWithin  = 6 * time.Second // time of a model request
	mostTokens = 40
	prompts    = 60 // in use, so that beginnings are shared
	repeats    = 3  // sendings of a keyed request at most
	restMost   = 60 * time.Millisecond
	// awayFor is how long a driver leaves a host that does not answer.
	awayFor = 300 * time.Millisecond
)

// Tally is how requests ended.
type Tally map[string]int

// driver is a caller that sends one request after the other, over connections that
// it keeps until their host's process is gone.
type driver struct {
	d      *deployment.Deployment
	checks *checker
	client *client.Client
	rnd    *rand.Rand
	home   int // index of its host
	seen   Tally
	served func(at time.Time, how string)
}

func (v *driver) run(ctx context.Context) {
	for ctx.Err() == nil {
		host := v.home
		if v.rnd.IntN(8) == 0 {
			host = v.rnd.IntN(len(v.d.Hosts))
		}
		switch n := v.rnd.IntN(10); {
		case n < 4:
			v.ask(ctx, host, true, "")
		case n < 6:
			v.ask(ctx, host, false, "")
		case n < 8:
			v.ask(ctx, host, v.rnd.IntN(2) == 0, v.d.Hosts[host].Region+"-bound")
		default:
			v.book(ctx, host)
		}
		sleep(ctx, time.Duration(v.rnd.Float64()*float64(restMost)))
	}
}

func (v *driver) ask(ctx context.Context, host int, stream bool, workspace string) {
	h := v.d.Hosts[host]
	a := client.Ask{
		Host: h.Listen.Callers, Service: v.d.Spec.Model.Name, Workspace: workspace, Stream: stream, Timeout: askWithin,
		Prompt: fmt.Sprintf("a drawing with the number %d", v.rnd.IntN(prompts)), Tokens: 1 + v.rnd.IntN(mostTokens),
	}
	began := time.Now()
	r := v.client.Do(ctx, a)
	if ctx.Err() != nil {
		return
	}
	v.checks.asked(a, h.Host, began, r)
	v.end(ctx, r)
}

// end counts how a request ended, and rests after one that its host did not take.
func (v *driver) end(ctx context.Context, r client.Result) string {
	how := outcomeOf(r)
	v.seen[how]++
	v.served(time.Now(), how)
	if r.Status == 0 {
		sleep(ctx, awayFor)
	}
	return how
}

func outcomeOf(r client.Result) string {
	switch {
	case r.Status == http.StatusOK && r.Whole:
		return "answered"
	case r.Outcome == "not-run":
		return "not-run"
	case r.Status == http.StatusOK:
		return "cut"
	}
	return "unknown"
}

// book sends a keyed request, again where it may have run.
func (v *driver) book(ctx context.Context, host int) {
	hosts, err := v.client.Hosts(ctx, v.d.Hosts[host].Listen.Callers)
	if err != nil || hosts.Key == "" {
		v.seen["no key"]++
		sleep(ctx, awayFor)
		return
	}
	for range repeats {
		to := v.d.Hosts[host]
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), askWithin+heldMost)
		began := time.Now()
		r := v.client.Plain(call, to.Listen.Callers, http.MethodPost, v.d.Spec.Plain.Name, "/bookings", hosts.Key, "", "mill 4")
		cancel()
		how := v.end(ctx, r)
		if how == "cut" {
			how = "unknown"
		}
		v.checks.keyed(hosts.Key, attempt{began: began, ended: time.Now(), host: to.Host, outcome: how, text: r.Text})
		if how == "answered" || ctx.Err() != nil {
			return
		}
		host = v.rnd.IntN(len(v.d.Hosts))
	}
}
