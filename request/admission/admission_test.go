package admission

import (
	"math"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestShares guards against starved priorities, workspaces that crowd out others, and shares that
// exceed the supply or leave a part of it unused while more is asked for.
func TestShares(t *testing.T) {
	class := func(priority int8, workspace string, asked float64) vetchtrail.ClassDemand {
		return vetchtrail.ClassDemand{Priority: priority, Workspace: workspace, Asked: asked}
	}
	weighted := func(c vetchtrail.ClassDemand, weight float64) vetchtrail.ClassDemand {
		c.Weight = weight
		return c
	}
	returned := func(c vetchtrail.ClassDemand) vetchtrail.ClassDemand {
		c.Return = true
		return c
	}
	for name, test := range map[string]struct {
		supply  float64
		classes []vetchtrail.ClassDemand
		want    map[Class]float64 // rates
		granted map[int8]float64
	}{
		"enough for all": {supply: 100, classes: []vetchtrail.ClassDemand{class(1, "a", 30), class(0, "b", 70)}, want: map[Class]float64{{1, false, "a"}: 30, {0, false, "b"}: 70}},
		"the higher priority first, a tenth for the lower": {supply: 100, classes: []vetchtrail.ClassDemand{class(0, "a", 50), class(1, "a", 300)},
			want: map[Class]float64{{1, false, "a"}: 90, {0, false, "a"}: 10}},
		"a floor that is not asked for goes to others": {supply: 100, classes: []vetchtrail.ClassDemand{class(0, "a", 4), class(1, "a", 300)},
			want: map[Class]float64{{1, false, "a"}: 96, {0, false, "a"}: 4}},
		"a lower priority that asks for much gets a part of the mean": {supply: 100, classes: []vetchtrail.ClassDemand{class(0, "a", 300), class(1, "a", 100)},
			want: map[Class]float64{{1, false, "a"}: 100 - 100*floorOfMean*0.75, {0, false, "a"}: 100 * floorOfMean * 0.75}},
		"workspaces that ask for little are served in full": {supply: 100, classes: []vetchtrail.ClassDemand{class(0, "a", 10), class(0, "b", 300), class(0, "c", 50)},
			want: map[Class]float64{{0, false, "a"}: 10, {0, false, "b"}: 45, {0, false, "c"}: 45}},
		"by weight": {supply: 90, classes: []vetchtrail.ClassDemand{weighted(class(0, "a", 300), 2), weighted(class(0, "b", 300), 1)},
			want: map[Class]float64{{0, false, "a"}: 60, {0, false, "b"}: 30}},
		"without a weight as the mean of the others": {supply: 90, classes: []vetchtrail.ClassDemand{weighted(class(0, "a", 300), 4), class(0, "b", 300), weighted(class(0, "c", 300), 2)},
			want: map[Class]float64{{0, false, "a"}: 40, {0, false, "b"}: 30, {0, false, "c"}: 20}},
		"returns first, and they count for the workspace": {supply: 100, classes: []vetchtrail.ClassDemand{class(0, "a", 100), class(0, "b", 100), returned(class(0, "a", 30))},
			want: map[Class]float64{{0, true, "a"}: 30, {0, false, "a"}: 20, {0, false, "b"}: 50}},
		"supply for one priority only leaves more for others": {supply: 50, classes: []vetchtrail.ClassDemand{class(0, "a", 40), class(1, "a", 100)},
			want: map[Class]float64{{1, false, "a"}: 100, {0, false, "a"}: 30}, granted: map[int8]float64{1: 80}},
		"nothing to divide": {supply: 0, classes: []vetchtrail.ClassDemand{class(0, "a", 100)}, want: map[Class]float64{{0, false, "a"}: 0}},
	} {
		t.Run(name, func(t *testing.T) {
			var s Shares
			s.Compute(test.classes, test.supply, test.granted)
			for _, c := range test.classes {
				got := s.Fraction(classOfDemand(c)) * c.Asked
				assert.Assert(t, math.Abs(got-test.want[classOfDemand(c)]) < 0.01, "%v: %f", c, got)
			}
		})
	}
}

// TestPrioritiesBeyondFloors guards against floors that together exceed the supply.
func TestPrioritiesBeyondFloors(t *testing.T) {
	var classes []vetchtrail.ClassDemand
	for p := range int8(30) {
		classes = append(classes, vetchtrail.ClassDemand{Priority: p, Asked: 10})
	}
	var s Shares
	s.Compute(classes, 50, nil)
	sum := 0.0
	for _, c := range classes {
		sum += s.Fraction(classOfDemand(c)) * c.Asked
	}
	assert.Assert(t, math.Abs(sum-50) < 0.01, "%f", sum)
}

// TestErrorDiffusion guards against a number of admitted requests that differs from the fraction
// by one or more, and against hosts that all refuse the first request of a class.
func TestErrorDiffusion(t *testing.T) {
	first := 0
	for host := range uint64(1000) {
		d := newDiffusion(host * 0x9e3779b97f4a7c15)
		admitted := 0
		for n := range 100 {
			if d.admit(Class{Workspace: "a"}, 0.3) {
				admitted++
			}
			if n == 0 {
				first += admitted
			}
			assert.Assert(t, math.Abs(float64(admitted)-0.3*float64(n+1)) <= 1)
		}
	}
	assert.Assert(t, first > 250 && first < 350, "%d of 1000 hosts admit the first request", first)
}

// TestCorrection guards against a factor beyond its bounds, one that rises while the service is
// idle, and one that ignores the direction of the wait.
func TestCorrection(t *testing.T) {
	for name, test := range map[string]struct {
		wait     time.Duration
		shortage bool
		want     float64
	}{
		"long waits lower it to the bound": {10 * time.Second, true, 1 / maxCorrection},
		"no waits raise it to the bound":   {0, true, maxCorrection},
		"not while there is no shortage":   {0, false, 1},
		"at the target it stays":           {500 * time.Millisecond, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var c correction
			now, factor := time.Unix(100, 0), 0.0
			for range 300 {
				now = now.Add(100 * time.Millisecond)
				factor = c.update(test.wait, time.Second, test.shortage, now)
			}
			assert.Assert(t, math.Abs(factor-test.want) < 1e-9, "%f", factor)
		})
	}
}

// TestShortage guards against refusals without a queue or without excess demand, and against a
// shortage that ends with the first short gap in either.
func TestShortage(t *testing.T) {
	now := time.Unix(100, 0)
	state := func(queued int) State {
		return State{Queued: queued, Wait: 400 * time.Millisecond, Objective: time.Second}
	}
	var s Shortage
	s.update(200, 100, state(0), now)
	assert.Assert(t, !s.Active, "nothing is queued")
	s.update(80, 100, state(5), now)
	assert.Assert(t, !s.Active, "demand fits")
	s.update(200, 0, state(5), now)
	assert.Assert(t, !s.Active, "the supply is not known")
	s.update(200, 100, State{Queued: 5, Wait: 200 * time.Millisecond, Objective: time.Second}, now)
	assert.Assert(t, !s.Active, "waits are short")
	s.update(200, 100, state(5), now)
	assert.Assert(t, s.Active)
	s.update(200, 100, state(0), now.Add(shortageEnd/2))
	assert.Assert(t, s.Active)
	s.update(200, 100, state(0), now.Add(shortageEnd))
	assert.Assert(t, !s.Active)
	assert.Assert(t, s.Since.Equal(now.Add(shortageEnd)))
}

// TestMeterWindow guards against demand that is counted after its window, and against folding
// that loses demand or exceeds the bound of a message.
func TestMeterWindow(t *testing.T) {
	now := time.Unix(100, 0)
	var m Meter
	for i := range 100 {
		m.Count(Class{Workspace: strconv.Itoa(i)}, float64(10+i), i%2 == 0, now)
	}
	classes := Fold(m.Append(nil, now.Add(Window-1)), MaxClasses)
	assert.Assert(t, len(classes) <= MaxClasses)
	asked, workspaces := 0.0, 0.0
	for _, c := range classes {
		asked += c.Asked
		workspaces += max(c.Weight, 1)
	}
	assert.Assert(t, math.Abs(asked-5950) < 0.01, "%f", asked)
	assert.Equal(t, workspaces, 100.0)
	assert.Equal(t, len(m.Append(nil, now.Add(Window))), 0)
}

// TestMeasurementAge guards against the demand of a lost host, and against an older measurement
// that arrives after a newer one.
func TestMeasurementAge(t *testing.T) {
	now := time.Unix(100, 0)
	demand := func(asked float64) []vetchtrail.ClassDemand { return []vetchtrail.ClassDemand{{Asked: asked}} }
	var m Measurements
	m.Record("a", demand(10), now)
	m.Record("a", demand(99), now.Add(-time.Second))
	m.Record("lost", demand(50), now.Add(-MaxAge))
	sum := m.Append(nil, demand(1), 2, now)
	assert.Equal(t, sum[0].Asked, 122.0)
	later := now.Add(time.Second)
	n, age := m.Heard(later)
	assert.Equal(t, n, 1)
	assert.Equal(t, age, time.Second)
	assert.Equal(t, m.Append(nil, demand(1), 1, later)[0].Asked, 11.0)
}
