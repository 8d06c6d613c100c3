package notices

import (
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Names of the metrics: of what endpoints say of whether they want requests, and of fields that nobody reads.
const (
	Name        = "vetchtrail_endpoint_notices_total"
	UnknownName = "vetchtrail_endpoint_fields_unknown_total"
)

// count counts a notice by what it says.
func count(says string) { metrics.GetOrCreateCounter(Name + `{says="` + says + `"}`).Inc() }

// countUnknown counts a field that nobody reads. What can't stand in a metric's label is left out of its name.
func countUnknown(field string) {
	name := strings.Map(func(r rune) rune {
		if r < ' ' || r == '"' || r == '\\' || r > '~' {
			return -1
		}
		return r
	}, field)
	metrics.GetOrCreateCounter(UnknownName + `{field="` + name + `"}`).Inc()
}
