package policy

import (
	"slices"

	"vetchtrail"
)

// handsOver says whether a request is left to the owner of its session's shard: of the
// requests that an endpoint gets, one host of many sees too few to know what the endpoint
// has still to read.
func handsOver(s *scored, r *vetchtrail.Request, v *vetchtrail.View) bool {
	switch {
	case v.Owner == "" || r.Hops >= vetchtrail.MaxHops || s.off.Has(vetchtrail.Sharding):
		return false
	case r.Begun || v.Waited:
		return false
	}
	return !slices.Contains(v.Excluded, v.Owner)
}
