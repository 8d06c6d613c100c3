package rules

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
)

// workspaceShards is how many maps hold the workspaces, so that a change
// copies one small map and not all of them.
const workspaceShards = 256

// noHome stands for a workspace without a home of its own.
const noHome = vetchtrail.MaxRegions

// workspace is kept small: there are tens of thousands.
type workspace struct {
	allowed  vetchtrail.RegionSet // 0: does not narrow
	home     uint8
	priority int8
	locked   bool
	keys     []vetchtrail.KeyHash
	quota    vetchtrail.Quota
}

// maxKeys bounds the keys of a workspace: two while one replaces the other, and some more.
const maxKeys = 32

// Workspace returns what is configured of a workspace.
func (r *Rules) Workspace(name string) (vetchtrail.Workspace, bool) {
	w, ok := r.workspaces[shardOf(name)][name]
	if !ok {
		return vetchtrail.Workspace{}, false
	}
	return r.expand(name, w), true
}

// Holder returns the name of the workspace that a key belongs to.
func (r *Rules) Holder(key vetchtrail.KeyHash) (workspace string, ok bool) {
	workspace, ok = r.holders[keyShardOf(key)][key]
	return workspace, ok
}

// Quota returns the bound on a workspace; without one it has no rate.
func (r *Rules) Quota(workspace string) vetchtrail.Quota {
	return r.workspaces[shardOf(workspace)][workspace].quota
}

// AnyLocked says whether some workspace is locked, so that callers show keys.
func (r *Rules) AnyLocked() bool { return r.locked > 0 }

// Locked says whether a workspace needs a key, so that nobody may name it without one.
func (r *Rules) Locked(workspace string) bool {
	return r.workspaces[shardOf(workspace)][workspace].locked
}

// Workspaces returns all workspaces in the order of their names.
func (r *Rules) Workspaces() []vetchtrail.Workspace {
	var out []vetchtrail.Workspace
	for _, shard := range r.workspaces {
		for name, w := range shard {
			out = append(out, r.expand(name, w))
		}
	}
	slices.SortFunc(out, func(a, b vetchtrail.Workspace) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

func (r *Rules) expand(name string, w workspace) vetchtrail.Workspace {
	out := vetchtrail.Workspace{Name: name, Priority: w.priority, Keys: w.keys, Locked: w.locked, Quota: w.quota}
	if w.home != noHome {
		out.Home = r.names[w.home]
	}
	for id, region := range r.names {
		if region != "" && w.allowed.Has(vetchtrail.RegionID(id)) {
			out.Allowed = append(out.Allowed, region)
		}
	}
	return out
}

func (b *builder) putWorkspace(w vetchtrail.Workspace) string {
	if p := nameProblem(w.Name); p != "" {
		return p
	}
	set, unknown := b.set(w.Allowed)
	if unknown != "" {
		return "names the unknown region " + unknown
	}
	kept := workspace{allowed: set, home: noHome, priority: w.Priority}
	if w.Home != "" {
		g, ok := b.next.regions[w.Home]
		if !ok {
			return "names the unknown region " + w.Home
		}
		kept.home = uint8(g.ID)
	}
	if p := quotaProblem(w.Quota); p != "" {
		return p
	}
	kept.quota = w.Quota
	shard := b.shard(w.Name)
	b.takeKeys(w.Name, shard[w.Name].keys)
	if p := b.giveKeys(w.Name, w.Keys); p != "" {
		return p
	}
	kept.keys = slices.Clone(w.Keys)
	kept.locked = w.Locked || len(w.Keys) > 0
	b.next.locked += count(kept.locked) - count(shard[w.Name].locked)
	shard[w.Name] = kept
	return ""
}

// quotaProblem says what is wrong with a quota.
func quotaProblem(q vetchtrail.Quota) string {
	for _, n := range []float64{q.Rate, q.Burst, q.Plain} {
		if !(n >= 0) || math.IsInf(n, 0) {
			return "a number of its quota is below 0 or no number"
		}
	}
	if q.Rate == 0 && q.Burst > 0 {
		return "its quota has a burst but no rate"
	}
	return ""
}

// takeKeys takes keys away from a workspace.
func (b *builder) takeKeys(workspace string, keys []vetchtrail.KeyHash) {
	for _, k := range keys {
		shard := b.keyShard(k)
		if shard[k] == workspace {
			delete(shard, k)
		}
	}
}

// giveKeys gives keys to a workspace. A key shows one workspace only.
func (b *builder) giveKeys(workspace string, keys []vetchtrail.KeyHash) string {
	if len(keys) > maxKeys {
		return fmt.Sprintf("it has over %d keys", maxKeys)
	}
	for _, k := range keys {
		shard := b.keyShard(k)
		if held, ok := shard[k]; ok && held != workspace {
			return "one of its keys is that of workspace " + held
		}
		shard[k] = workspace
	}
	return ""
}

func (b *builder) removeWorkspace(name string) string {
	shard := b.shard(name)
	w, ok := shard[name]
	if !ok {
		return "is unknown"
	}
	b.takeKeys(name, w.keys)
	b.next.locked -= count(w.locked)
	delete(shard, name)
	return ""
}

// keyShard returns the map for a key, safe to write.
func (b *builder) keyShard(key vetchtrail.KeyHash) map[vetchtrail.KeyHash]string {
	i := keyShardOf(key)
	if !b.shown[i] {
		b.shown[i] = true
		b.next.holders[i] = maps.Clone(b.next.holders[i])
		if b.next.holders[i] == nil {
			b.next.holders[i] = map[vetchtrail.KeyHash]string{}
		}
	}
	return b.next.holders[i]
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

func shardOf(name string) int { return int(xxhash.Sum64String(name) % workspaceShards) }

// keyShardOf takes a byte of the hash, which is as good as random.
func keyShardOf(key vetchtrail.KeyHash) int { return int(key[0]) % workspaceShards }

// shard returns the map for a workspace, safe to write.
func (b *builder) shard(name string) map[string]workspace {
	i := shardOf(name)
	if !b.copied[i] {
		b.copied[i] = true
		b.next.workspaces[i] = maps.Clone(b.next.workspaces[i])
		if b.next.workspaces[i] == nil {
			b.next.workspaces[i] = map[string]workspace{}
		}
	}
	return b.next.workspaces[i]
}
