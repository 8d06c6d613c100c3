package quarantines

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"vetchtrail"
	"vetchtrail/request/quarantine"
)

const (
	// soundPartTTL is how long a host remembers that a request with a part was answered, and maxSoundParts bounds these
	// parts.
	soundPartTTL  = time.Minute
	maxSoundParts = 8192
	// partSoundAfter is how long the response of a request must have been streaming for the parts of its prompt to be
	// sound: a poison part crashes an endpoint as it begins to write.
	partSoundAfter = time.Second
	// maxReportedParts bounds the parts in the report of a crash.
	maxReportedParts = 256
	// soundReportInterval is the least time between two reports that a part is sound. The replies to the first may still
	// have the part among the suspects.
	soundReportInterval = 500 * time.Millisecond
	// confirmTime is how long hosts have to report that a suspected part is sound, before it is quarantined. It is
	// enough for messages between regions both ways, and the detection that follows.
	confirmTime = 600 * time.Millisecond
)

// recordSound records that an endpoint began a sound response on a part. The caller holds the lock.
func (q *Quarantines) recordSound(part vetchtrail.ContentHash, at, now time.Time) {
	q.soundParts.Put(part, vetchtrail.Later(at, q.soundAt(part)), now)
}

// soundAt returns when an endpoint last began a sound response on a part for this host; zero: not known. The caller
// holds the lock.
func (q *Quarantines) soundAt(part vetchtrail.ContentHash) time.Time {
	at, _ := q.soundParts.Get(part)
	return at
}

// soundTime returns up to when a response that began and ended at given times shows that the part with an index was
// sound. A poison part crashes an endpoint as it begins to write, and may have become one since. That is told apart for the
// deepest part only: those before it come with many requests, and to quarantine one of them stops all of these.
func soundTime(parts []vetchtrail.PromptPart, index int, began, ended time.Time) time.Time {
	if index == len(parts)-1 {
		return began
	}
	return ended
}

// partsInFlight returns the parts of the prompts of requests that were lost in a crash, deeper ones first, and those
// that are sound because an endpoint had written a response on them for some time, with when that began.
func partsInFlight(lost []loss) (suspected []quarantine.InFlightPart, sound map[vetchtrail.ContentHash]time.Time) {
	sound = map[vetchtrail.ContentHash]time.Time{}
	index := map[vetchtrail.ContentHash]int{}
	for _, l := range lost {
		for depth, part := range l.parts {
			hash := vetchtrail.PartHash(l.service, part.ID)
			if l.streamed >= partSoundAfter {
				sound[hash] = vetchtrail.Later(sound[hash], soundTime(l.parts, depth, l.at.Add(-l.streamed), l.at))
				continue
			}
			i, ok := index[hash]
			if !ok {
				i = len(suspected)
				index[hash] = i
				suspected = append(suspected, quarantine.InFlightPart{ContentHash: hash, Depth: uint8(min(depth, 255))})
			}
			if p := &suspected[i]; !l.Streaming {
				p.Requests = append(p.Requests, l.ContentHash)
			}
		}
	}
	suspected = slices.DeleteFunc(suspected, func(p quarantine.InFlightPart) bool {
		return len(p.Requests) == 0
	})
	slices.SortStableFunc(suspected, func(a, b quarantine.InFlightPart) int { return cmp.Compare(b.Depth, a.Depth) })
	return suspected[:min(maxReportedParts, len(suspected))], sound
}

// addParts adds to a crash the parts of the prompts that may have caused it, with what this host knows of them. The
// caller holds the lock.
func (q *Quarantines) addParts(crash *quarantine.Crash, lost []loss, now time.Time) {
	suspected, sound := partsInFlight(lost)
	for hash, at := range sound {
		q.recordSound(hash, at, now)
	}
	for i := range suspected {
		suspected[i].SoundAt = q.soundAt(suspected[i].ContentHash)
		q.watched.add(suspected[i].ContentHash, now)
	}
	crash.Parts = suspected
}

// watchSuspect has this host report a suspected request once it serves it. A part is reported at once if this host has
// had a request with it answered since the first crash that counts against it. The caller holds the lock.
func (q *Quarantines) watchSuspect(s quarantine.Suspect, now time.Time) {
	if !s.Part {
		q.watched.add(s.ContentHash, now)
		return
	}
	if now.Sub(q.soundReported[s.ContentHash]) < soundReportInterval {
		return
	}
	at := q.soundAt(s.ContentHash)
	if !at.After(s.Since) {
		q.watched.add(s.ContentHash, now)
		return
	}
	maps.DeleteFunc(q.soundReported, func(_ vetchtrail.ContentHash, at time.Time) bool { return now.Sub(at) >= soundReportInterval })
	q.soundReported[s.ContentHash] = now
	q.served = append(q.served, servedRequest{contentHash: s.ContentHash, at: at})
	q.wakeRun()
}

// detectParts returns the parts to quarantine, and when to look again because hosts can still report that one is sound.
// The caller holds the lock.
func (q *Quarantines) detectParts(now time.Time) (found []quarantine.Suspect, again time.Time) {
	suspects := q.history.PartSuspects(suspectThreshold)
	suspectedSince := make(map[vetchtrail.ContentHash]time.Time, len(suspects))
	for _, s := range suspects {
		if at := q.soundAt(s.ContentHash); at.After(s.Since) {
			q.history.RecordServed(s.ContentHash, at)
		}
		since, ok := q.suspectedSince[s.ContentHash]
		if !ok {
			since = now
		}
		suspectedSince[s.ContentHash] = since
	}
	q.suspectedSince = suspectedSince
	result := q.history.DetectParts(q.entries, now, func(hash vetchtrail.ContentHash) bool {
		since, ok := suspectedSince[hash]
		return ok && now.Sub(since) >= confirmTime
	})
	if result.Unconfirmed {
		again = now.Add(confirmTime)
	}
	return result.Suspects, again
}
