package lists

import (
	"context"
	"time"

	"vetchtrail"
)

const (
	// askEvery is the pause between two questions of a starting host, to all of its seeds
	// at once. A seed that starts at the same moment says nothing until it listens.
	askEvery = 60 * time.Millisecond
	// askMost is that pause after some seconds: hundreds of hosts that start at once have the same seeds.
	askMost = 500 * time.Millisecond
	// askTime bounds such a question: two ways between regions. The first packet of a
	// connection that nobody answers goes again after a second: it is better to begin anew.
	// Hosts that start at once would else wait for each other's listeners.
	askTime = 400 * time.Millisecond
	// asksAtOnce bounds the questions of a starting host that are under way.
	asksAtOnce = 12
	// fetchTime bounds the fetching of lists: a seed with a narrow link may lend those of thousands of
	// endpoints to a hundred hosts at once.
	fetchTime = 2500 * time.Millisecond
)

// askPause is the pause until a host that started some time ago asks its seeds again.
func askPause(since time.Duration) time.Duration { return min(askEvery+since/askSlower, askMost) }

// askSlower is by what part of the time since its start a host's pause between two questions grows.
const askSlower = 16

// ask asks the seeds, and a host that was heard of since, whether they can lend lists, all at
// once, without waiting for their answers.
func (l *Lists) ask(ctx context.Context) {
	now := time.Now()
	asked := append(l.seeds(), l.cfg.Hosts.Ranked(followDuty, 1, now)...)
	for _, h := range asked {
		if l.asking.Add(1) > asksAtOnce {
			l.asking.Add(-1)
			return
		}
		go func() {
			defer l.asking.Add(-1)
			if l.lends(ctx, h) {
				l.fetch(ctx, h)
			}
		}()
	}
}

// lends says whether a host can lend lists.
func (l *Lists) lends(ctx context.Context, h vetchtrail.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	reply, err := l.probe(ctx, h)
	if err != nil {
		l.cfg.Log.Debug("lists not asked for", "peer", h.Name, "error", err)
		return false
	}
	return reply.GetSeen() > 0
}

// fetch takes lists and the configuration from a host, unless that is under way from another: lists of
// thousands of endpoints fetched by each of a dozen questions fill the links when all hosts start at once.
func (l *Lists) fetch(ctx context.Context, h vetchtrail.Host) {
	if l.held.Load() != nil || !l.fetching.CompareAndSwap(false, true) {
		return
	}
	defer l.fetching.Store(false)
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	pulled := make(chan struct{})
	go func() {
		defer close(pulled)
		if l.cfg.Configuration.Revision() > 0 {
			return
		}
		if err := l.pull(ctx, h); err != nil {
			l.cfg.Log.Info("configuration not pulled", "peer", h.Name, "error", err)
		}
	}()
	reply, err := l.get(ctx, h.Peers, 0)
	<-pulled
	if err == nil && reply.GetSeen() > 0 && l.held.Load() == nil {
		err = l.takeLent(ctx, reply, h, nil)
	}
	if err != nil {
		l.cfg.Log.Info("lists not borrowed", "peer", h.Name, "error", err)
	}
	l.cfg.Taken()
}
