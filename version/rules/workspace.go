package rules

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
)

// shardCount is the number of maps over which workspaces are distributed; keys are
// distributed over as many. A change then copies a few small maps instead of all
// entries.
const shardCount = 256

// noHome is the home of a workspace for which none is configured.
const noHome = vetchtrail.MaxRegions

// workspace is the compact form of a vetchtrail.Workspace, since there are tens
// of thousands. It refers to regions by id, and its name is the map's key.
type workspace struct {
	allowed  vetchtrail.RegionSet // the only regions that may process its requests; 0: no limit
	home     uint8                // region id, or noHome
	priority int8
	locked   bool // its callers need a key
	keys     []vetchtrail.KeyHash
	quota    vetchtrail.Quota
}

// maxKeys limits the keys of a workspace. Replacing a key requires two at a time;
// the limit allows more.
const maxKeys = 32

// Workspace returns a workspace by its name.
func (r *Rules) Workspace(name string) (vetchtrail.Workspace, bool) {
	w, ok := r.workspaces[workspaceShardOf(name)][name]
	if !ok {
		return vetchtrail.Workspace{}, false
	}
	return r.expand(name, w), true
}

// KeyWorkspace returns the name of the workspace that owns a key.
func (r *Rules) KeyWorkspace(key vetchtrail.KeyHash) (workspace string, ok bool) {
	workspace, ok = r.keyOwners[keyShardOf(key)][key]
	return workspace, ok
}

// Quota returns the quota of a workspace. Its rate is 0 if there is none.
func (r *Rules) Quota(workspace string) vetchtrail.Quota {
	return r.workspaces[workspaceShardOf(workspace)][workspace].quota
}

// AnyLocked reports whether at least one workspace is locked.
func (r *Rules) AnyLocked() bool { return r.locked > 0 }

// Locked reports whether the callers of a workspace must send a key.
func (r *Rules) Locked(workspace string) bool {
	return r.workspaces[workspaceShardOf(workspace)][workspace].locked
}

// Workspaces returns all workspaces, sorted by name.
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

// expand returns the full form of a workspace.
func (r *Rules) expand(name string, w workspace) vetchtrail.Workspace {
	out := vetchtrail.Workspace{Name: name, Priority: w.priority, Keys: w.keys, Locked: w.locked, Quota: w.quota}
	if w.home != noHome {
		out.Home = r.nameByID[w.home]
	}
	for id, region := range r.nameByID {
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
	regionSet, unknown := b.regionSet(w.Allowed)
	if unknown != "" {
		return "refers to unknown region " + unknown
	}
	compact := workspace{allowed: regionSet, home: noHome, priority: w.Priority}
	if w.Home != "" {
		g, ok := b.next.regions[w.Home]
		if !ok {
			return "refers to unknown region " + w.Home
		}
		compact.home = uint8(g.ID)
	}
	if p := quotaProblem(w.Quota); p != "" {
		return p
	}
	compact.quota = w.Quota
	shard := b.workspaceShard(w.Name)
	b.releaseKeys(w.Name, shard[w.Name].keys)
	if p := b.assignKeys(w.Name, w.Keys); p != "" {
		return p
	}
	compact.keys = slices.Clone(w.Keys)
	compact.locked = w.Locked || len(w.Keys) > 0
	b.next.locked += boolToInt(compact.locked) - boolToInt(shard[w.Name].locked)
	shard[w.Name] = compact
	return ""
}

// quotaProblem returns what is wrong with a quota, or "" if nothing is.
func quotaProblem(q vetchtrail.Quota) string {
	for _, n := range []float64{q.Rate, q.Burst, q.Plain} {
		if !(n >= 0) || math.IsInf(n, 0) {
			return "a number of its quota is negative or not finite"
		}
	}
	if q.Rate == 0 && q.Burst > 0 {
		return "its quota has a burst but no rate"
	}
	return ""
}

// releaseKeys removes keys from a workspace.
func (b *builder) releaseKeys(workspace string, keys []vetchtrail.KeyHash) {
	for _, k := range keys {
		shard := b.keyShard(k)
		if shard[k] == workspace {
			delete(shard, k)
		}
	}
}

// assignKeys makes a workspace the owner of keys. It returns what is wrong with
// them, or "" if nothing is. A key has one owner only, since it identifies the
// workspace.
func (b *builder) assignKeys(workspace string, keys []vetchtrail.KeyHash) string {
	if len(keys) > maxKeys {
		return fmt.Sprintf("it has more than %d keys", maxKeys)
	}
	for _, k := range keys {
		shard := b.keyShard(k)
		if owner, ok := shard[k]; ok && owner != workspace {
			return "one of its keys belongs to workspace " + owner
		}
		shard[k] = workspace
	}
	return ""
}

func (b *builder) removeWorkspace(name string) string {
	shard := b.workspaceShard(name)
	w, ok := shard[name]
	if !ok {
		return "is unknown"
	}
	b.releaseKeys(name, w.keys)
	b.next.locked -= boolToInt(w.locked)
	delete(shard, name)
	return ""
}

// keyShard returns the map that holds a key, as a copy that the builder may
// change.
func (b *builder) keyShard(key vetchtrail.KeyHash) map[vetchtrail.KeyHash]string {
	i := keyShardOf(key)
	if !b.copiedKeys[i] {
		b.copiedKeys[i] = true
		b.next.keyOwners[i] = maps.Clone(b.next.keyOwners[i])
		if b.next.keyOwners[i] == nil {
			b.next.keyOwners[i] = map[vetchtrail.KeyHash]string{}
		}
	}
	return b.next.keyOwners[i]
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// workspaceShardOf returns the index of the shard that holds a workspace.
func workspaceShardOf(name string) int { return int(xxhash.Sum64String(name) % shardCount) }

// keyShardOf returns the index of the shard that holds a key. The first byte of
// the hash spreads keys evenly.
func keyShardOf(key vetchtrail.KeyHash) int { return int(key[0]) % shardCount }

// workspaceShard returns the map that holds a workspace, as a copy that the
// builder may change.
func (b *builder) workspaceShard(name string) map[string]workspace {
	i := workspaceShardOf(name)
	if !b.copiedWorkspaces[i] {
		b.copiedWorkspaces[i] = true
		b.next.workspaces[i] = maps.Clone(b.next.workspaces[i])
		if b.next.workspaces[i] == nil {
			b.next.workspaces[i] = map[string]workspace{}
		}
	}
	return b.next.workspaces[i]
}
