package origins

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
	"vetchtrail/schema"
)

const (
	// replicasHere is how many other hosts of this host's region keep an origin, and replicasElsewhere how many of the
	// region that ranks first among the others, so that an origin outlasts a region.
	replicasHere      = 2
	replicasElsewhere = 1
	// askedHere and askedElsewhere are more than the replicas in a region, as hosts that were lost or have started since
	// change the ranking. Regions are ranked too; regionsAsked is how many of the others are asked.
	askedHere      = 4
	askedElsewhere = 2
	regionsAsked   = 2
	// replicateTimeout bounds a message with replicas.
	replicateTimeout = time.Second
	// findTimeout bounds a search. It is enough for a round trip between regions.
	findTimeout = 400 * time.Millisecond
	// maxQueued bounds the origins that wait to be sent to one host.
	maxQueued = 4096
)

// byOnlyVersion is how a stream's version is known if its service has had no other.
const byOnlyVersion = "only version"

// byPersisted is the same, by what the hosts before have persisted.
const byPersisted = "persisted"

// outbox holds the origins to be sent to one host. One message is under way at a time, and the next one has all
// origins that were added meanwhile.
type outbox struct {
	origins []*schema.StreamOrigin
	sending bool
}

// taskOf returns the task for which the hosts of a region are ranked for the replicas of a stream.
func taskOf(key uint64) string { return "origin " + strconv.FormatUint(key, 16) }

// replicate sends a record to the hosts that keep its replicas.
func (o *Origins) replicate(key uint64, r record, now time.Time) {
	m := &schema.StreamOrigin{Stream: key, SoftwareVersion: r.version, Age: int64(now.Sub(r.began))}
	hosts := o.ranked(key, replicasHere, replicasElsewhere, 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, h := range hosts {
		box, ok := o.outboxes[h.PeerAddr]
		if !ok {
			box = &outbox{}
			o.outboxes[h.PeerAddr] = box
		}
		if len(box.origins) >= maxQueued {
			countNotStored(1)
			continue
		}
		box.origins = append(box.origins, m)
		if !box.sending {
			box.sending = true
			go o.send(h, box)
		}
	}
}

// replicateAll does so for all streams of a service that this host passed on.
func (o *Origins) replicateAll(service string, now time.Time) {
	began := map[uint64]record{}
	o.mu.Lock()
	for key, r := range o.records.All() {
		if r.service == service && now.Sub(r.began) <= maxStreamAge {
			began[key] = r
		}
	}
	o.mu.Unlock()
	for key, r := range began {
		o.replicate(key, r, now)
	}
}

// send sends an outbox to its host until it is empty.
func (o *Origins) send(h vetchtrail.Host, box *outbox) {
	for {
		o.mu.Lock()
		m := &schema.StreamOrigins{Origins: box.origins}
		box.origins = nil
		if len(m.GetOrigins()) == 0 {
			box.sending = false
			delete(o.outboxes, h.PeerAddr)
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), replicateTimeout)
		err := o.cfg.Peers.StoreOrigins(ctx, h.PeerAddr, m)
		cancel()
		if err != nil {
			countNotStored(len(m.GetOrigins()))
			o.cfg.Log.Info("origins of streams not stored", "peer", h.Name, "streams", len(m.GetOrigins()), "error", err)
		}
	}
}

// ranked returns the first hosts for a stream, without this one: so many of this host's region, and so many of each of
// the other regions that rank first.
func (o *Origins) ranked(key uint64, here, elsewhere, regions int) []vetchtrail.Host {
	task := taskOf(key)
	// One more, as this host may be among them.
	out := slices.DeleteFunc(o.cfg.Hosts.FirstInRegion(o.cfg.Self.Region, task, here+1), func(h vetchtrail.Host) bool { return h.Name == o.cfg.Self.Name })
	out = out[:min(here, len(out))]
	others := slices.DeleteFunc(slices.Clone(o.cfg.Regions()), func(region string) bool { return region == o.cfg.Self.Region })
	slices.SortFunc(others, func(a, b string) int { return cmp.Compare(regionWeight(task, a), regionWeight(task, b)) })
	for _, region := range others[:min(regions, len(others))] {
		out = append(out, o.cfg.Hosts.FirstInRegion(region, task, elsewhere)...)
	}
	return out
}

// regionWeight is the weight of a region by which the regions are ranked for a task, the lowest first.
func regionWeight(task, region string) uint64 { return xxhash.Sum64String(task + "\x00" + region) }

// Find implements vetchtrail.StreamOrigins. A record of the stream at any host asked outweighs the only version that this
// host knows: its listing may be older than the endpoint that began the stream.
func (o *Origins) Find(ctx context.Context, service, attempt string) vetchtrail.StreamVersion {
	began, key := time.Now(), keyOf(service, attempt)
	v, only := o.known(service, key, began)
	by, asked := "this host", 0
	if !v.Known || only {
		hosts := o.ranked(key, askedHere, askedElsewhere, regionsAsked)
		asked = len(hosts)
		var disputed bool
		v, only, disputed = o.ask(ctx, hosts, &schema.StreamOriginQuery{Service: service, Stream: key}, v)
		by = foundBy(v, only)
		if !v.Known && !disputed {
			if v, only = o.findPersisted(ctx, service, key); v.Known {
				by = byPersisted
			}
		}
	}
	countSearch(by)
	o.cfg.Log.Info("origin of a stream", "service", service, "resumes", attempt, "known", v.Known, "version", v.Version, "by", by, "asked", asked, "took", time.Since(began))
	if v.Known && !only {
		o.Began(service, attempt, v) // the stream outlasts this host as well
	}
	return v
}

// foundBy names how a stream's version was found after other hosts were asked.
func foundBy(v vetchtrail.StreamVersion, only bool) string {
	switch {
	case !v.Known:
		return "nobody"
	case only:
		return byOnlyVersion
	}
	return "replica"
}

// answers is what other hosts have replied to a query so far.
type answers struct {
	record   vetchtrail.StreamVersion // of the stream
	only     vetchtrail.StreamVersion // said to be the service's only version
	disputed bool                     // by hosts that name different versions, or list several
	count    int
}

// add adds a reply.
func (a *answers) add(reply *schema.StreamOriginReply) {
	a.count++
	v := schema.ToStreamVersion(reply.SoftwareVersion)
	switch {
	case v.Known && !reply.GetOnly():
		a.record = v
	case v.Known:
		a.disputed = a.disputed || a.only.Known && a.only != v
		a.only = v
	case reply.GetSeveral():
		a.disputed = true
	}
}

// ask asks hosts for the origin of a stream. The first record decides. Without one it is the only version of the
// service, by this host or by others; it is disputed, and not known, if they disagree, this host has listed another
// version, or none of them replies: this host may then be the one that lacks a new version, as it is cut off or was stopped.
func (o *Origins) ask(ctx context.Context, hosts []vetchtrail.Host, q *schema.StreamOriginQuery, own vetchtrail.StreamVersion) (v vetchtrail.StreamVersion, only, disputed bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	a, replies := answers{only: own}, o.query(ctx, hosts, q)
	for over := false; !over && !a.record.Known; {
		select {
		case reply, ok := <-replies:
			if ok {
				a.add(reply)
			}
			over = !ok
		case <-ctx.Done():
			over = true
			for len(replies) > 0 { // that arrived while this host was stopped
				a.add(<-replies)
			}
		}
	}
	switch {
	case a.record.Known:
		return a.record, false, false
	case !a.only.Known && !a.disputed:
		return vetchtrail.StreamVersion{}, false, false
	case a.disputed, !o.agrees(q.GetService(), a.only), a.count == 0 && !o.isAlone(hosts):
		return vetchtrail.StreamVersion{}, false, true
	}
	return a.only, true, false
}

// isAlone reports whether there is no other host to ask, and this host's listing is new. A host that is cut off counts the others as lost
// after some seconds, but its listing is older then.
func (o *Origins) isAlone(hosts []vetchtrail.Host) bool {
	l := o.cfg.Listing()
	return len(hosts) == 0 && l != nil && time.Since(l.ReadAt) < o.cfg.KnownWithin/2
}

// query sends a query to hosts and returns their replies. The channel is closed once all have replied or failed.
func (o *Origins) query(ctx context.Context, hosts []vetchtrail.Host, q *schema.StreamOriginQuery) <-chan *schema.StreamOriginReply {
	replies := make(chan *schema.StreamOriginReply, len(hosts))
	var queries sync.WaitGroup
	for _, h := range hosts {
		queries.Go(func() {
			reply, err := o.cfg.Peers.FindOrigin(ctx, h.PeerAddr, q)
			if err != nil {
				o.cfg.Log.Debug("origin of a stream not asked", "peer", h.Name, "error", err)
				return
			}
			replies <- reply
		})
	}
	go func() {
		queries.Wait()
		close(replies)
	}()
	return replies
}
