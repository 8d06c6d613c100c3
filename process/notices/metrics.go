package notices

import "github.com/VictoriaMetrics/metrics"

// Name is the name of the metric of what endpoints say of whether they want requests.
const Name = "vetchtrail_endpoint_notices_total"

// count counts a notice by what it says.
func count(says string) { metrics.GetOrCreateCounter(Name + `{says="` + says + `"}`).Inc() }
