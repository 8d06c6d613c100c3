package demand

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/schema"
)

// TestGrant guards against spare supply that is counted for requests which may not use its region,
// twice for the data centres of a region, after a region is cut off, or where grants are switched
// off.
func TestGrant(t *testing.T) {
	const near, far = vetchtrail.RegionID(1), vetchtrail.RegionID(2)
	for name, test := range map[string]struct {
		lowReach      vetchtrail.RegionSet // of the lower priority; the higher one may use both
		age           time.Duration        // of the digests
		withoutGrants bool
		common        float64
		single        map[int8]float64
	}{
		"all may use it":        {lowReach: vetchtrail.RegionsOf(near, far), common: 900},
		"one priority may":      {lowReach: vetchtrail.RegionsOf(near), single: map[int8]float64{2: 900}},
		"the region is cut off": {lowReach: vetchtrail.RegionsOf(near, far), age: time.Minute},
		"switched off":          {lowReach: vetchtrail.RegionsOf(near, far), withoutGrants: true},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(&supplies{Supply: load.Supply{Rate: 1000, CachedShare: 1}}, 1)
			table.cfg.Region, table.cfg.WithoutGrants = "near", test.withoutGrants
			table.cfg.RegionID = func(name string) (vetchtrail.RegionID, bool) { return far, name == "far" }
			s := table.service("chat")
			s.supply.Rate = 1000
			for _, dataCentre := range []string{"a", "b"} { // both report the supply of their region
				table.RecordDigest("far", dataCentre, &schema.ServiceDigest{Service: "chat", Supply: 1000}, start.Add(-test.age))
			}
			s.observeReach(&vetchtrail.Request{Priority: 1, AllowedRegions: test.lowReach}, start)
			s.observeReach(&vetchtrail.Request{Priority: 2, AllowedRegions: vetchtrail.RegionsOf(near, far)}, start)
			common, single := table.grant(s, 5000, start)
			assert.Equal(t, common, test.common)
			assert.DeepEqual(t, single, test.single)
		})
	}
}
