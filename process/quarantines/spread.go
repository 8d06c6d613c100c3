package quarantines

import (
	"context"
	"slices"
	"sync"
	"time"

	"vetchtrail"
	"vetchtrail/request/quarantine"
	"vetchtrail/schema"
)

const (
	// syncEvery is the pause between two questions to another host whether it knows of other
	// holds: 40 bytes there and back while it doesn't, beside 58 of the messages' framing.
	syncEvery = 2 * time.Second
	// syncHosts is how many hosts of a region ask so often. With more each asks less often, so
	// that a counter answers 13 questions a second, some 2 KB, also for 300 hosts: what is news
	// is told at once, and who was not reached then has it from the platform's lists.
	syncHosts = 50
	// pushes is how many hosts are told at once.
	pushes = 16
	// allHosts is more than a region has.
	allHosts = 1 << 16
)

// Run does a host's duties until ctx ends.
func (q *Quarantines) Run(ctx context.Context) {
	if q.cfg.Off {
		return
	}
	sync := time.NewTimer(syncEvery)
	defer sync.Stop()
	judge := time.NewTimer(syncEvery)
	defer judge.Stop()
	for {
		judge.Reset(q.nextJudgement())
		select {
		case <-ctx.Done():
			return
		case <-sync.C:
			now := q.cfg.Clock()
			q.holds.Refresh(now)
			go q.sync(ctx, now)
			go q.keep(ctx, now)
			q.introduce(ctx, now)
			sync.Reset(q.syncPause())
		case <-judge.C:
		case <-q.wake:
		}
		if now := q.cfg.Clock(); q.count(ctx, now) {
			go q.keep(ctx, now)
		}
	}
}

// syncPause is the time until this host asks again.
func (q *Quarantines) syncPause() time.Duration {
	return max(syncEvery, syncEvery*time.Duration(1+len(q.region()))/syncHosts)
}

// nextJudgement is the time until there is something to judge.
func (q *Quarantines) nextJudgement() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.judge.IsZero() {
		return syncEvery
	}
	return max(0, q.judge.Sub(q.cfg.Clock()))
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// spread tells all hosts of the region, and the counters of the others, which tell theirs. The
// caller holds the lock.
func (q *Quarantines) spread(holds []vetchtrail.Hold, now time.Time) {
	m := q.message(holds, now)
	to := q.region()
	for _, region := range q.cfg.Regions() {
		if region != q.cfg.Self.Region {
			to = append(to, q.countersOf(region)...)
		}
	}
	go q.push(m, to)
}

// region returns the other hosts of this one's region.
func (q *Quarantines) region() []vetchtrail.Host {
	all := q.cfg.Hosts.RankedIn(q.cfg.Self.Region, counterDuty, allHosts)
	return slices.DeleteFunc(all, func(h vetchtrail.Host) bool { return h.Name == q.cfg.Self.Name })
}

// message tells of holds, and as a counter's of the suspects: what others heard of them would
// come back to who forgot it. The caller holds the lock.
func (q *Quarantines) message(holds []vetchtrail.Hold, now time.Time) *schema.Holds {
	m := &schema.Holds{From: q.cfg.Self.Name, Version: q.holds.Version(now), Holds: schema.FromHolds(holds, now)}
	if q.counts() {
		m.Suspects = fromSuspects(q.suspects)
	}
	return m
}

// push tells hosts. One that is not reached asks later.
func (q *Quarantines) push(m *schema.Holds, hosts []vetchtrail.Host) {
	var all sync.WaitGroup
	places := make(chan struct{}, pushes)
	for _, h := range hosts {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			ctx, cancel := context.WithTimeout(context.Background(), tellTime)
			defer cancel()
			if _, err := q.cfg.Peers.Hold(ctx, h.Peers, m); err != nil {
				q.cfg.Log.Info("host not told what is held back", "peer", h.Name, "error", err)
			}
		})
	}
	all.Wait()
}

// HostHolds takes what another host holds back, and answers with what it lacks. A counter tells
// the hosts of its region what is news.
func (q *Quarantines) HostHolds(m *schema.Holds) (*schema.Holds, error) {
	now := q.cfg.Clock()
	holds, err := schema.ToHolds(m.GetHolds(), now)
	if err != nil {
		return nil, err
	}
	q.hearSuspects(m)
	counts := q.counts()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.takeAndTell(holds, counts, now)
	reply := q.message(nil, now)
	if m.GetVersion() != reply.GetVersion() {
		reply.Holds = schema.FromHolds(q.holds.All(now), now)
	}
	return reply, nil
}

// takeAndTell takes holds that another host told. A counter tells the hosts of its region what
// is news. The caller holds the lock.
func (q *Quarantines) takeAndTell(holds []vetchtrail.Hold, counts bool, now time.Time) {
	if news := q.take(holds, now); len(news) > 0 && counts {
		go q.push(q.message(news, now), q.region())
	}
}

// hear takes the holds that the platform keeps: those that it doesn't keep, also if it keeps
// none, are written there again.
func (q *Quarantines) hear(holds []vetchtrail.Hold) {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.kept)
	for _, h := range holds {
		q.kept[h.Digest] = h
	}
	q.take(holds, q.cfg.Clock())
}

// hearSuspects remembers whose service is worth a word.
func (q *Quarantines) hearSuspects(m *schema.Holds) {
	suspects, err := toSuspects(m.GetSuspects())
	if err != nil {
		q.cfg.Log.Error("suspects not taken", "peer", m.GetFrom(), "error", err)
		return
	}
	if len(suspects) == 0 {
		return
	}
	now := q.cfg.Clock()
	counts := q.counts()
	q.mu.Lock()
	defer q.mu.Unlock()
	if !counts { // which has its own evidence
		q.suspects, q.suspectsUntil = suspects, now.Add(suspectsFor)
	}
	for _, s := range suspects {
		q.suspected.add(s.Digest, now)
	}
}

// sync asks another host whether it knows of other holds: a counter of the region, or, as one
// of those, a counter of another region.
func (q *Quarantines) sync(ctx context.Context, now time.Time) {
	h, ok := q.syncWith(now)
	if !ok {
		return
	}
	reply, err := q.swap(ctx, h, nil, now)
	if err != nil {
		q.cfg.Log.Debug("holds not swapped", "peer", h.Name, "error", err)
		return
	}
	holds, err := schema.ToHolds(reply.GetHolds(), q.cfg.Clock())
	if err != nil {
		q.cfg.Log.Error("holds not taken", "peer", h.Name, "error", err)
		return
	}
	counts := q.counts()
	q.mu.Lock()
	q.takeAndTell(holds, counts, q.cfg.Clock())
	all := q.holds.All(now)
	differs := q.holds.Version(now) != reply.GetVersion()
	q.mu.Unlock()
	if differs {
		if _, err := q.swap(ctx, h, all, now); err != nil {
			q.cfg.Log.Debug("holds not swapped", "peer", h.Name, "error", err)
		}
	}
}

func (q *Quarantines) swap(ctx context.Context, h vetchtrail.Host, holds []vetchtrail.Hold, now time.Time) (*schema.Holds, error) {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	q.mu.Lock()
	m := q.message(holds, now)
	q.mu.Unlock()
	return q.cfg.Peers.Hold(ctx, h.Peers, m)
}

// syncWith picks the host to ask.
func (q *Quarantines) syncWith(now time.Time) (vetchtrail.Host, bool) {
	var from []vetchtrail.Host
	if q.counts() {
		for _, region := range q.cfg.Regions() {
			from = append(from, q.countersOf(region)...)
		}
	} else {
		from = q.countersOf(q.cfg.Self.Region)
	}
	from = slices.DeleteFunc(from, func(h vetchtrail.Host) bool { return h.Name == q.cfg.Self.Name })
	if len(from) == 0 {
		return vetchtrail.Host{}, false
	}
	return from[int(now.UnixNano()/int64(syncEvery))%len(from)], true // each in turn
}

const (
	// keepStep is what a host waits longer than the one before it until it writes holds that
	// the platform lacks: by then that one's have come back in the lists.
	keepStep = 3 * time.Second
	keepTime = 4 * time.Second
)

// keep writes holds where they outlast all hosts. The first counter does at once; the others
// where it is lost or cut off from there.
func (q *Quarantines) keep(ctx context.Context, now time.Time) {
	rank, counts := q.keepRank()
	if q.cfg.Keeper == nil || !counts {
		return
	}
	q.mu.Lock()
	put, drop := q.due(now.Add(-time.Duration(rank)*keepStep), now)
	q.mu.Unlock()
	if len(put)+len(drop) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keepTime)
	defer cancel()
	if err := q.cfg.Keeper.Keep(ctx, put, drop); err != nil {
		q.cfg.Log.Warn("holds not kept on the platform", "holds", len(put), "over", len(drop), "error", err)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, h := range put {
		q.kept[h.Digest] = h
	}
	for _, d := range drop {
		delete(q.kept, d)
	}
}

// due returns the holds from before a moment that the platform lacks, and those that it keeps
// and that are over. The caller holds the lock.
func (q *Quarantines) due(before, now time.Time) (put []vetchtrail.Hold, drop []vetchtrail.Digest) {
	for _, h := range q.holds.All(now) {
		kept, ok := q.kept[h.Digest]
		switch over := !now.Before(h.Until); {
		case over && ok:
			drop = append(drop, h.Digest)
		case over || h.Since.After(before):
		case !ok || kept.Strike < h.Strike || kept.Strike == h.Strike && h.Released && !kept.Released:
			put = append(put, h)
		}
	}
	return put, drop
}

// keepRank is how many counters, of all regions in turn, go before this host.
func (q *Quarantines) keepRank() (int, bool) {
	regions := slices.Sorted(slices.Values(q.cfg.Regions()))
	rank := 0
	for n := range counters {
		for _, region := range regions {
			all := q.countersOf(region)
			if n >= len(all) {
				continue
			}
			if all[n].Name == q.cfg.Self.Name {
				return rank, true
			}
			rank++
		}
	}
	return 0, false
}

// digestsOf are the digests of requests as a log line shows them.
func digestsOf(ran []quarantine.InFlight) []string {
	const most = 64
	out := make([]string, 0, min(most, len(ran)))
	for _, r := range ran[:min(most, len(ran))] {
		out = append(out, r.ContentHash.String())
	}
	return out
}

// suspectLine is a suspect as a log line shows it.
type suspectLine struct {
	Digest string `json:"digest"`
	Ends   int    `json:"ends"`
}

func suspectsOf(in []quarantine.Suspect) []suspectLine {
	out := make([]suspectLine, 0, len(in))
	for _, s := range in {
		out = append(out, suspectLine{Digest: s.Digest.String(), Ends: s.Ends})
	}
	return out
}
