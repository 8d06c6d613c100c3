package quarantine

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

// Kept is what the platform keeps of the holds, as it outlasts all hosts. It tells no times:
// no host's time of day is sure, and what reads it when all hosts were lost holds back anew.
type Kept struct {
	Holds []KeptHold `json:"holds"`
}

// KeptHold is a hold as it is kept.
type KeptHold struct {
	Digest   string `json:"digest"`
	Strike   uint32 `json:"strike"`
	Ends     int    `json:"ends"`
	Released bool   `json:"released,omitempty"`
}

// ParseKept reads what String wrote. What can't be read of it is an error beside the holds
// that can.
func ParseKept(text []byte) (Kept, error) {
	var in, out Kept
	if err := json.Unmarshal(text, &in); err != nil {
		return out, errors.Wrap(err, "quarantine.ParseKept")
	}
	var bad error
	for _, h := range in.Holds {
		if _, err := vetchtrail.ParseDigest(h.Digest); err != nil || h.Strike == 0 {
			bad = errors.Errorf("quarantine.ParseKept: %q, strike %d, is no hold", h.Digest, h.Strike)
			continue
		}
		out.Holds = append(out.Holds, h)
	}
	return out, bad
}

// Text returns what ParseKept reads.
func (k *Kept) Text() ([]byte, error) { return json.Marshal(k) }

// Put adds holds in place of those of the same requests, unless those are later strikes, and
// drops others. Those that were put first go where they are too many.
func (k *Kept) Put(holds []vetchtrail.Hold, drop []vetchtrail.Digest) {
	for _, d := range drop {
		k.remove(d.String())
	}
	for _, h := range holds {
		text := h.Digest.String()
		at := slices.IndexFunc(k.Holds, func(old KeptHold) bool { return old.Digest == text })
		if at >= 0 && k.Holds[at].Strike > h.Strike {
			continue
		}
		released := h.Released || at >= 0 && k.Holds[at].Strike == h.Strike && k.Holds[at].Released
		k.remove(text)
		k.Holds = append(k.Holds, KeptHold{Digest: text, Strike: h.Strike, Ends: h.Ends, Released: released})
	}
	k.Holds = k.Holds[max(0, len(k.Holds)-mostHolds):]
}

func (k *Kept) remove(digest string) {
	k.Holds = slices.DeleteFunc(k.Holds, func(h KeptHold) bool { return h.Digest == digest })
}

// From returns the holds as one who reads them now takes them: how long they have stood is not
// kept, and hosts that know it tell so.
func (k *Kept) From(now time.Time) []vetchtrail.Hold {
	out := make([]vetchtrail.Hold, 0, len(k.Holds))
	for _, h := range k.Holds {
		d, err := vetchtrail.ParseDigest(h.Digest)
		if err != nil {
			continue
		}
		out = append(out, vetchtrail.Hold{
			Digest: d, Strike: h.Strike, Ends: h.Ends, Since: now, Until: now.Add(HoldTime(h.Strike)), Released: h.Released,
		})
	}
	return out
}
