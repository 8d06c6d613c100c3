package quarantine

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

// PersistedEntries is the persisted form of the entries, which outlasts a restart of all hosts. It
// contains no times, as no host's wall clock can be relied on. A host that reads it after all hosts
// were restarted quarantines each request for its full duration again.
type PersistedEntries struct {
	Entries []PersistedEntry `json:"holds"`
}

// PersistedEntry is one entry in its persisted form.
type PersistedEntry struct {
	ContentHash string `json:"digest"`
	Count       uint32 `json:"strike"`
	Crashes     int    `json:"ends"`
	Released    bool   `json:"released,omitempty"`
	Part        bool   `json:"part,omitempty"`
}

// ParsePersistedEntries reads the encoding that Encode returns. If some entries are invalid, it
// returns the valid ones together with an error.
func ParsePersistedEntries(text []byte) (PersistedEntries, error) {
	var in, out PersistedEntries
	if err := json.Unmarshal(text, &in); err != nil {
		return out, errors.Wrap(err, "quarantine.ParsePersistedEntries")
	}
	var bad error
	for _, entry := range in.Entries {
		if _, err := vetchtrail.ParseContentHash(entry.ContentHash); err != nil || entry.Count == 0 {
			bad = errors.Errorf("quarantine.ParsePersistedEntries: invalid entry: content hash %q, count %d", entry.ContentHash, entry.Count)
			continue
		}
		out.Entries = append(out.Entries, entry)
	}
	return out, bad
}

// Encode returns the encoding that ParsePersistedEntries reads.
func (p *PersistedEntries) Encode() ([]byte, error) { return json.Marshal(p) }

// Update adds entries and removes those of the requests in drop. An entry replaces the one of the
// same request, unless that one has a higher count; if the counts are equal, a release stays. If
// there are more than maxEntries entries, those added first are removed.
func (p *PersistedEntries) Update(entries []vetchtrail.QuarantineEntry, drop []vetchtrail.ContentHash) {
	for _, d := range drop {
		p.remove(d.String())
	}
	for _, entry := range entries {
		hash := entry.ContentHash.String()
		i := slices.IndexFunc(p.Entries, func(old PersistedEntry) bool { return old.ContentHash == hash })
		if i >= 0 && p.Entries[i].Count > entry.Count {
			continue
		}
		released := entry.Released || i >= 0 && p.Entries[i].Count == entry.Count && p.Entries[i].Released
		p.remove(hash)
		p.Entries = append(p.Entries, PersistedEntry{ContentHash: hash, Count: entry.Count, Crashes: entry.Crashes, Released: released, Part: entry.Part})
	}
	p.Entries = p.Entries[max(0, len(p.Entries)-maxEntries):]
}

func (p *PersistedEntries) remove(contentHash string) {
	p.Entries = slices.DeleteFunc(p.Entries, func(entry PersistedEntry) bool { return entry.ContentHash == contentHash })
}

// EntriesAt returns the entries for a host that reads them now. As their age isn't persisted, each
// one starts now. When the host exchanges entries with hosts that kept running, the earlier Until
// wins (see Entries.Merge).
func (p *PersistedEntries) EntriesAt(now time.Time) []vetchtrail.QuarantineEntry {
	out := make([]vetchtrail.QuarantineEntry, 0, len(p.Entries))
	for _, entry := range p.Entries {
		hash, err := vetchtrail.ParseContentHash(entry.ContentHash)
		if err != nil {
			continue
		}
		out = append(out, vetchtrail.QuarantineEntry{
			ContentHash: hash, Part: entry.Part, Count: entry.Count, Crashes: entry.Crashes, Since: now, Until: now.Add(EntryDuration(entry.Count)), Released: entry.Released,
		})
	}
	return out
}
