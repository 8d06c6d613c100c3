package quarantines

import (
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/request/quarantine"
	"vetchtrail/schema"
)

// maxReportedPartRequests bounds the requests that are reported with a part.
const maxReportedPartRequests = 4

// fromCrash returns the message for a crash. The time of the crash is sent as its age at now.
func fromCrash(c quarantine.Crash, now time.Time) *schema.End {
	m := &schema.End{Endpoint: c.Endpoint, Born: schema.FromTime(c.StartedAt), Age: int64(now.Sub(c.At))}
	for _, r := range c.InFlight {
		m.Ran = append(m.Ran, r.ContentHash[:]...)
		streaming := byte(0)
		if r.Streaming {
			streaming = 1
		}
		m.Begun = append(m.Begun, streaming)
	}
	m.Parts = fromParts(c.Parts, now)
	return m
}

// toCrash returns the crash of a message that was received at now.
func toCrash(m *schema.End, now time.Time) (quarantine.Crash, error) {
	hashes, streaming := m.GetRan(), m.GetBegun()
	if len(hashes) != len(streaming)*len(vetchtrail.ContentHash{}) || m.GetEndpoint() == "" || m.GetAge() < 0 {
		return quarantine.Crash{}, errors.Errorf("quarantines: invalid crash: %d bytes of content hashes for %d requests at %q", len(hashes), len(streaming), m.GetEndpoint())
	}
	c := quarantine.Crash{Endpoint: m.GetEndpoint(), StartedAt: schema.ToTime(m.GetBorn()), At: now.Add(-time.Duration(m.GetAge()))}
	for i, b := range streaming {
		c.InFlight = append(c.InFlight, quarantine.InFlight{ContentHash: vetchtrail.ContentHash(hashes[i*len(vetchtrail.ContentHash{}) : (i+1)*len(vetchtrail.ContentHash{})]), Streaming: b != 0})
	}
	var err error
	c.Parts, err = toParts(m.GetParts(), now)
	return c, err
}

// fromParts returns the messages for the parts of a crash.
func fromParts(parts []quarantine.InFlightPart, now time.Time) []*schema.EndPart {
	var out []*schema.EndPart
	for _, p := range parts {
		m := &schema.EndPart{Digest: p.ContentHash[:], Depth: uint32(p.Depth)}
		for _, r := range p.Requests[:min(maxReportedPartRequests, len(p.Requests))] {
			m.Requests = append(m.Requests, r[:]...)
		}
		if !p.SoundAt.IsZero() {
			m.SoundAge = max(1, int64(now.Sub(p.SoundAt)))
		}
		out = append(out, m)
	}
	return out
}

// toParts returns the parts of a crash in a message that was received at now.
func toParts(in []*schema.EndPart, now time.Time) ([]quarantine.InFlightPart, error) {
	var out []quarantine.InFlightPart
	for _, m := range in {
		hash, err := schema.ToContentHash(m.GetDigest())
		if err != nil || len(m.GetRequests())%len(hash) != 0 || m.GetDepth() > math.MaxUint8 || m.GetSoundAge() < 0 {
			return nil, errors.Errorf("quarantines: invalid part %x at depth %d with %d bytes of content hashes, sound for %d", m.GetDigest(), m.GetDepth(), len(m.GetRequests()), m.GetSoundAge())
		}
		p := quarantine.InFlightPart{ContentHash: hash, Depth: uint8(m.GetDepth())}
		for request := range slices.Chunk(m.GetRequests(), len(hash)) {
			p.Requests = append(p.Requests, vetchtrail.ContentHash(request))
		}
		if m.GetSoundAge() > 0 {
			p.SoundAt = now.Add(-time.Duration(m.GetSoundAge()))
		}
		out = append(out, p)
	}
	return out, nil
}

// fromSuspects returns the messages for suspects.
func fromSuspects(in []quarantine.Suspect, now time.Time) []*schema.Suspect {
	out := make([]*schema.Suspect, 0, len(in))
	for _, s := range in {
		m := &schema.Suspect{Digest: s.ContentHash[:], Ends: uint32(s.Crashes), Part: s.Part}
		if s.Part {
			m.Since = int64(now.Sub(s.Since))
		}
		out = append(out, m)
	}
	return out
}

// toSuspects returns the suspects of messages that were received at now. If one is invalid, it
// returns an error and no suspects.
func toSuspects(in []*schema.Suspect, now time.Time) ([]quarantine.Suspect, error) {
	out := make([]quarantine.Suspect, 0, len(in))
	for _, m := range in {
		hash, err := schema.ToContentHash(m.GetDigest())
		if err != nil {
			return nil, errors.Wrap(err, "quarantines: invalid suspects")
		}
		s := quarantine.Suspect{ContentHash: hash, Part: m.GetPart(), Crashes: int(m.GetEnds())}
		if s.Part {
			s.Since = now.Add(-time.Duration(m.GetSince()))
		}
		out = append(out, s)
	}
	return out, nil
}
