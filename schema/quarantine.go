package schema

import (
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

const (
	// contentHashBytes is the length of a request's content hash, which
	// messages call its digest.
	contentHashBytes = len(vetchtrail.ContentHash{})
	// maxTimesQuarantined is the largest number of times quarantined (strike)
	// that a message may state for a request; a larger one is an error. Each
	// time doubles the length of a quarantine.
	maxTimesQuarantined = 1 << 16
)

// ErrContentHash means that a content hash has the wrong length.
var ErrContentHash = errors.Errorf("a content hash must have %d bytes", contentHashBytes)

// FromQuarantineEntries returns the messages for quarantine entries. Their times are sent as
// the difference from now, a time of the boot clock (process/clock), as the
// times of the entries are.
func FromQuarantineEntries(entries []vetchtrail.QuarantineEntry, now time.Time) []*Hold {
	out := make([]*Hold, 0, len(entries))
	for _, e := range entries {
		out = append(out, FromQuarantineEntry(e, now))
	}
	return out
}

// FromQuarantineEntry returns the message for a quarantine entry, as FromQuarantineEntries does.
func FromQuarantineEntry(e vetchtrail.QuarantineEntry, now time.Time) *Hold {
	return &Hold{
		Digest: e.ContentHash[:], Strike: e.Count, Ends: uint32(e.Crashes), Age: int64(now.Sub(e.Since)),
		Remaining: int64(e.Until.Sub(now)), Released: e.Released, Part: e.Part,
	}
}

// ToQuarantineEntries returns the quarantine entries of messages that arrived now. If one of
// them is invalid, it returns an error and no entries.
func ToQuarantineEntries(in []*Hold, now time.Time) ([]vetchtrail.QuarantineEntry, error) {
	out := make([]vetchtrail.QuarantineEntry, 0, len(in))
	for _, m := range in {
		e, err := ToQuarantineEntry(m, now)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

// ToQuarantineEntry returns the quarantine entry of a message that arrived now.
func ToQuarantineEntry(m *Hold, now time.Time) (vetchtrail.QuarantineEntry, error) {
	hash, err := ToContentHash(m.GetDigest())
	if err != nil {
		return vetchtrail.QuarantineEntry{}, errors.Wrap(err, "schema.ToQuarantineEntry")
	}
	if m.GetStrike() == 0 || m.GetStrike() > maxTimesQuarantined {
		return vetchtrail.QuarantineEntry{}, errors.Errorf("schema.ToQuarantineEntry: strike %d is out of range", m.GetStrike())
	}
	return vetchtrail.QuarantineEntry{
		ContentHash: hash, Part: m.GetPart(), Count: m.GetStrike(), Crashes: int(m.GetEnds()), Since: now.Add(-time.Duration(max(0, m.GetAge()))),
		Until: now.Add(time.Duration(m.GetRemaining())), Released: m.GetReleased(),
	}, nil
}

// ToContentHash returns the content hash of a request from its bytes in a
// message.
func ToContentHash(in []byte) (vetchtrail.ContentHash, error) {
	if len(in) != contentHashBytes {
		return vetchtrail.ContentHash{}, ErrContentHash
	}
	return vetchtrail.ContentHash(in), nil
}
