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
	// syncInterval is the interval at which a host exchanges entries with another one. While both
	// have the same entries, an exchange is 40 bytes in both directions, plus 58 bytes of framing.
	syncInterval = 2 * time.Second
	// hostsAtFullSyncRate is the number of hosts of a region up to which each exchanges at
	// syncInterval. In larger regions each host does so less often, so that an aggregator handles
	// 13 exchanges a second, some 2 KB, also with 300 hosts. Changes are sent to all hosts at once,
	// and a host that doesn't receive one reads it from the platform's listing.
	hostsAtFullSyncRate = 50
	// maxConcurrentSends is the number of hosts to which a message is sent at the same time.
	maxConcurrentSends = 16
	// unlimitedHosts is more hosts than a region has.
	unlimitedHosts = 1 << 16
)

// Run detects poison requests and exchanges entries until ctx ends.
func (q *Quarantines) Run(ctx context.Context) {
	if q.cfg.SwitchedOff {
		return
	}
	syncTimer := time.NewTimer(syncInterval)
	defer syncTimer.Stop()
	detectTimer := time.NewTimer(syncInterval)
	defer detectTimer.Stop()
	for {
		detectTimer.Reset(q.untilDetection())
		select {
		case <-ctx.Done():
			return
		case <-syncTimer.C:
			now := q.cfg.Clock()
			q.entries.Refresh(now)
			go q.syncWithPeer(ctx, now)
			go q.persist(ctx, now)
			q.reportToNewAggregators(ctx, now)
			syncTimer.Reset(q.nextSync())
		case <-detectTimer.C:
		case <-q.wake:
		}
		if now := q.cfg.Clock(); q.reportAndDetect(ctx, now) {
			go q.persist(ctx, now)
		}
	}
}

// nextSync returns the time until this host's next exchange.
func (q *Quarantines) nextSync() time.Duration {
	return max(syncInterval, syncInterval*time.Duration(1+len(q.regionPeers()))/hostsAtFullSyncRate)
}

// untilDetection returns the time until the next detection, or syncInterval if none is needed.
func (q *Quarantines) untilDetection() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.detectAt.IsZero() {
		return syncInterval
	}
	return max(0, q.detectAt.Sub(q.cfg.Clock()))
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// broadcast sends entries to all hosts of this region and to the aggregators of the others, which
// forward them within theirs. The caller holds the lock.
func (q *Quarantines) broadcast(entries []vetchtrail.QuarantineEntry, now time.Time) {
	m := q.entriesMessage(entries, now)
	to := q.regionPeers()
	for _, region := range q.cfg.Regions() {
		if region != q.cfg.Self.Region {
			to = append(to, q.aggregatorsIn(region)...)
		}
	}
	go q.sendToAll(m, to)
}

// regionPeers returns the other hosts of this region.
func (q *Quarantines) regionPeers() []vetchtrail.Host {
	all := q.cfg.Hosts.FirstInRegion(q.cfg.Self.Region, aggregatorTask, unlimitedHosts)
	return slices.DeleteFunc(all, func(h vetchtrail.Host) bool { return h.Name == q.cfg.Self.Name })
}

// entriesMessage returns the message for entries. Only an aggregator adds suspects: if other hosts
// forwarded the suspects that they received, hosts that had already dropped these would receive them
// again. The caller holds the lock.
func (q *Quarantines) entriesMessage(entries []vetchtrail.QuarantineEntry, now time.Time) *schema.Holds {
	m := &schema.Holds{From: q.cfg.Self.Name, Version: q.entries.Version(now), Holds: schema.FromQuarantineEntries(entries, now)}
	if q.isAggregator() {
		m.Suspects = fromSuspects(q.suspects, now)
	}
	return m
}

// sendToAll sends a message to hosts. A host that isn't reached receives the entries with its next
// exchange.
func (q *Quarantines) sendToAll(m *schema.Holds, hosts []vetchtrail.Host) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentSends)
	for _, h := range hosts {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			if _, err := q.cfg.Peers.ExchangeEntries(ctx, h.PeerAddr, m); err != nil {
				q.cfg.Log.Info("quarantine entries not sent", "peer", h.Name, "error", err)
			}
		})
	}
	wg.Wait()
}

// HandleEntries merges the entries of another host. It replies with all entries of this host if the
// versions differ. An aggregator forwards changes to the hosts of its region.
func (q *Quarantines) HandleEntries(m *schema.Holds) (*schema.Holds, error) {
	now := q.cfg.Clock()
	entries, err := schema.ToQuarantineEntries(m.GetHolds(), now)
	if err != nil {
		return nil, err
	}
	q.recordSuspects(m)
	isAggregator := q.isAggregator()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.mergeAndForward(entries, isAggregator, now)
	reply := q.entriesMessage(nil, now)
	if m.GetVersion() != reply.GetVersion() {
		reply.Holds = schema.FromQuarantineEntries(q.entries.All(now), now)
	}
	return reply, nil
}

// mergeAndForward merges entries of another host. An aggregator forwards changes to the hosts of
// its region. The caller holds the lock.
func (q *Quarantines) mergeAndForward(entries []vetchtrail.QuarantineEntry, isAggregator bool, now time.Time) {
	if changed := q.merge(entries, now); len(changed) > 0 && isAggregator {
		go q.sendToAll(q.entriesMessage(changed, now), q.regionPeers())
	}
}

// mergePersisted merges the entries that the platform has and remembers them, so that persist
// writes those that the platform lacks.
func (q *Quarantines) mergePersisted(entries []vetchtrail.QuarantineEntry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.persisted)
	for _, entry := range entries {
		q.persisted[entry.ContentHash] = entry
	}
	q.merge(entries, q.cfg.Clock())
}

// recordSuspects remembers the suspects of another host's message, so that this host reports when it
// serves one of them.
func (q *Quarantines) recordSuspects(m *schema.Holds) {
	now := q.cfg.Clock()
	suspects, err := toSuspects(m.GetSuspects(), now)
	if err != nil {
		q.cfg.Log.Error("invalid suspects from another host", "peer", m.GetFrom(), "error", err)
		return
	}
	if len(suspects) == 0 {
		return
	}
	isAggregator := q.isAggregator()
	q.mu.Lock()
	defer q.mu.Unlock()
	if !isAggregator { // an aggregator has its own crash history
		q.suspects, q.suspectsUntil = suspects, now.Add(suspectsTTL)
	}
	for _, s := range suspects {
		q.watchSuspect(s, now)
	}
}

// syncWithPeer exchanges entries with one other host. The first message has only the version of this
// host's entries, and the reply has all entries of the other host if their version differs. If the
// versions still differ after these are merged, this host sends all its entries.
func (q *Quarantines) syncWithPeer(ctx context.Context, now time.Time) {
	h, ok := q.syncPeer(now)
	if !ok {
		return
	}
	reply, err := q.exchange(ctx, h, nil, now)
	if err != nil {
		q.cfg.Log.Debug("quarantine entries not exchanged", "peer", h.Name, "error", err)
		return
	}
	entries, err := schema.ToQuarantineEntries(reply.GetHolds(), q.cfg.Clock())
	if err != nil {
		q.cfg.Log.Error("invalid quarantine entries from another host", "peer", h.Name, "error", err)
		return
	}
	isAggregator := q.isAggregator()
	q.mu.Lock()
	q.mergeAndForward(entries, isAggregator, q.cfg.Clock())
	all := q.entries.All(now)
	differs := q.entries.Version(now) != reply.GetVersion()
	q.mu.Unlock()
	if differs {
		if _, err := q.exchange(ctx, h, all, now); err != nil {
			q.cfg.Log.Debug("quarantine entries not exchanged", "peer", h.Name, "error", err)
		}
	}
}

// exchange sends entries to another host, with the version of all of them, and returns its reply.
func (q *Quarantines) exchange(ctx context.Context, h vetchtrail.Host, entries []vetchtrail.QuarantineEntry, now time.Time) (*schema.Holds, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q.mu.Lock()
	m := q.entriesMessage(entries, now)
	q.mu.Unlock()
	return q.cfg.Peers.ExchangeEntries(ctx, h.PeerAddr, m)
}

// syncPeer returns the host for the next exchange: an aggregator of this region or, if this host is
// one itself, an aggregator of any region.
func (q *Quarantines) syncPeer(now time.Time) (vetchtrail.Host, bool) {
	var peers []vetchtrail.Host
	if q.isAggregator() {
		for _, region := range q.cfg.Regions() {
			peers = append(peers, q.aggregatorsIn(region)...)
		}
	} else {
		peers = q.aggregatorsIn(q.cfg.Self.Region)
	}
	peers = slices.DeleteFunc(peers, func(h vetchtrail.Host) bool { return h.Name == q.cfg.Self.Name })
	if len(peers) == 0 {
		return vetchtrail.Host{}, false
	}
	return peers[int(now.UnixNano()/int64(syncInterval))%len(peers)], true // all of them in rotation
}

const (
	// persistStagger is how much longer each aggregator waits than the one ranked before it until
	// it writes entries that the platform lacks. By then the entries that the earlier one wrote are
	// in the listing.
	persistStagger = 3 * time.Second
	persistTimeout = 4 * time.Second
)

// persist writes the entries that the platform lacks to the platform, so that they survive the loss
// of all hosts. The first aggregator writes at once; the others take over if it is lost or can't
// reach the platform.
func (q *Quarantines) persist(ctx context.Context, now time.Time) {
	rank, isAggregator := q.persistRank()
	if q.cfg.Store == nil || !isAggregator {
		return
	}
	q.mu.Lock()
	put, drop := q.pendingWrites(now.Add(-time.Duration(rank)*persistStagger), now)
	q.mu.Unlock()
	if len(put)+len(drop) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	if err := q.cfg.Store.Save(ctx, put, drop); err != nil {
		q.cfg.Log.Warn("quarantine entries not persisted on the platform", "holds", len(put), "over", len(drop), "error", err)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, entry := range put {
		q.persisted[entry.ContentHash] = entry
	}
	for _, hash := range drop {
		delete(q.persisted, hash)
	}
}

// pendingWrites returns the entries that the platform lacks, except those made after madeUntil, and
// the expired ones that it still has. The caller holds the lock.
func (q *Quarantines) pendingWrites(madeUntil, now time.Time) (put []vetchtrail.QuarantineEntry, drop []vetchtrail.ContentHash) {
	for _, entry := range q.entries.All(now) {
		persisted, ok := q.persisted[entry.ContentHash]
		switch expired := !now.Before(entry.Until); {
		case expired && ok:
			drop = append(drop, entry.ContentHash)
		case expired || entry.Since.After(madeUntil):
		case !ok || persisted.Count < entry.Count || persisted.Count == entry.Count && entry.Released && !persisted.Released:
			put = append(put, entry)
		}
	}
	return put, drop
}

// persistRank returns how many aggregators are ranked before this host, and whether this host is an
// aggregator. The first aggregators of all regions come before the second ones.
func (q *Quarantines) persistRank() (int, bool) {
	regions := slices.Sorted(slices.Values(q.cfg.Regions()))
	rank := 0
	for n := range aggregatorsPerRegion {
		for _, region := range regions {
			aggregators := q.aggregatorsIn(region)
			if n >= len(aggregators) {
				continue
			}
			if aggregators[n].Name == q.cfg.Self.Name {
				return rank, true
			}
			rank++
		}
	}
	return 0, false
}

// hashStrings returns the content hashes of requests for a log line, 64 at most.
func hashStrings(inFlight []quarantine.InFlight) []string {
	const limit = 64
	out := make([]string, 0, min(limit, len(inFlight)))
	for _, r := range inFlight[:min(limit, len(inFlight))] {
		out = append(out, r.ContentHash.String())
	}
	return out
}

// suspectLogEntry is a suspect in a log line. The names of its fields appear in text logs.
type suspectLogEntry struct {
	Digest string `json:"digest"`
	Ends   int    `json:"ends"`
}

func suspectLogEntries(in []quarantine.Suspect) []suspectLogEntry {
	out := make([]suspectLogEntry, 0, len(in))
	for _, s := range in {
		out = append(out, suspectLogEntry{Digest: s.ContentHash.String(), Ends: s.Crashes})
	}
	return out
}
