package availability

import (
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Names of the metrics that count announcements of endpoints, and unknown fields and reported slowdowns in responses.
const (
	AnnouncementsMetric = "vetchtrail_endpoint_notices_total"
	UnknownFieldsMetric = "vetchtrail_endpoint_fields_unknown_total"
	SlowdownsMetric     = "vetchtrail_endpoint_slowdown_reports_total"
)

// countAnnouncement counts an announcement by its content.
func countAnnouncement(content string) {
	metrics.GetOrCreateCounter(AnnouncementsMetric + `{says="` + content + `"}`).Inc()
}

// countUnknownField counts an unknown field by its name, without the characters that a metric's label can't
// contain.
func countUnknownField(field string) {
	label := strings.Map(func(r rune) rune {
		if r < ' ' || r == '"' || r == '\\' || r > '~' {
			return -1
		}
		return r
	}, field)
	metrics.GetOrCreateCounter(UnknownFieldsMetric + `{field="` + label + `"}`).Inc()
}

// countSlowdown counts a slowdown in a load report by whether it could be parsed.
func countSlowdown(result string) {
	metrics.GetOrCreateCounter(SlowdownsMetric + `{result="` + result + `"}`).Inc()
}
