package load

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"vetchtrail"
)

// shardSize is how many endpoints a shard has, about: so few that their owner has the
// processor time and the link for their requests, and so many that one of them is likely
// to be idle.
const shardSize = 4

// divide puts a service's endpoints into shards: each data centre's, in the order of
// their hashes, in runs of about the same length. All hosts with the same lists divide
// them alike, and one endpoint more or less moves few others.
func divide(states []*state) {
	centres := map[string][]*state{}
	for _, s := range states {
		centres[s.DataCentre] = append(centres[s.DataCentre], s)
	}
	for name, all := range centres {
		slices.SortFunc(all, func(a, b *state) int { return cmp.Compare(a.hash, b.hash) })
		shards := max(1, (len(all)+shardSize/2)/shardSize)
		for i, s := range all {
			s.shard = vetchtrail.Shard{DataCentre: name, Key: s.Service + " shard " + strconv.Itoa(i*shards/len(all))}
		}
	}
}

// Shard implements vetchtrail.Endpoints.
func (t *Table) Shard(r *vetchtrail.Request, region string, now time.Time) (vetchtrail.Shard, bool) {
	session, ok := r.Session()
	if !ok {
		return vetchtrail.Shard{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	states := t.services[r.Service]
	if len(states) == 0 || states[0].Region != region {
		states = inRegion(t.far[r.Service], region)
	}
	home := homeOf(states, session.ID, now)
	if home < 0 {
		return vetchtrail.Shard{}, false
	}
	return states[home].shard, true
}

func inRegion(states []*state, region string) []*state {
	var out []*state
	for _, s := range states {
		if s.Region == region {
			out = append(out, s)
		}
	}
	return out
}
