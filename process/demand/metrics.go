package demand

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters count the work of one priority's requests, in prompt tokens.
type counters struct{ asked, admitted, refused *metrics.FloatCounter }

// gauges show the figures by which a service's requests are admitted.
type gauges struct{ supply, factor, age, granted *metrics.Gauge }

func newGauges(service string) *gauges {
	gauge := func(name string) *metrics.Gauge {
		return metrics.GetOrCreateGauge(fmt.Sprintf(`vetchtrail_admission_%s{service=%q}`, name, service), nil)
	}
	return &gauges{supply: gauge("supply_tokens"), factor: gauge("supply_factor"), age: gauge("measurement_age_seconds"), granted: gauge("granted_tokens")}
}

// count counts a request's work.
func (s *service) count(priority int8, work float64, admitted bool) {
	c, ok := s.counters[priority]
	if !ok {
		counter := func(result string) *metrics.FloatCounter {
			return metrics.GetOrCreateFloatCounter(fmt.Sprintf(`vetchtrail_admission_tokens_total{service=%q,priority="%d",result=%q}`, s.name, priority, result))
		}
		c = &counters{asked: counter("asked"), admitted: counter("admitted"), refused: counter("refused")}
		s.counters[priority] = c
	}
	c.asked.Add(work)
	if admitted {
		c.admitted.Add(work)
	} else {
		c.refused.Add(work)
	}
}

func (s *service) setGauges() {
	f := s.controller.Figures()
	s.gauges.supply.Set(f.Supply)
	s.gauges.factor.Set(f.Factor)
	s.gauges.age.Set(s.age.Seconds())
	granted := s.granted
	for _, rate := range s.grantedTo {
		granted += rate
	}
	s.gauges.granted.Set(granted)
}
