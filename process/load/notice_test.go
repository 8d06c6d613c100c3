package load

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"vetchtrail"
	_ "vetchtrail/standin/seeded"
)

// lives is a play of one endpoint that starts again and again under its name, and says in its answers that it
// leaves, while lists, reports and other processes at its address say other things of it. What its answers said
// is noted beside the table.
type lives struct {
	t      *rapid.T
	table  *Table
	now    time.Time
	born   []time.Time // of the lives so far
	listed int         // life that is listed; -1: none is
	leaves map[int]time.Time
	pauses map[int]time.Time
	others time.Time // until when anything else may keep the endpoint out of use
}

const livesMost = 4

func (l *lives) endpoint(life int) vetchtrail.Endpoint {
	return vetchtrail.Endpoint{Name: "e000", Service: "s", Slots: 4, Born: l.born[life]}
}

// list has the table hold the endpoint as a life of it, or not at all.
func (l *lives) list(life int) {
	l.listed = life
	var placed []Placed
	if life >= 0 {
		placed = []Placed{{Endpoint: l.endpoint(life)}}
	}
	l.table.Configure(placed)
}

// begin begins the next life, which the lists tell later.
func (l *lives) begin(*rapid.T) {
	if len(l.born) < livesMost {
		l.now = l.now.Add(10 * time.Millisecond)
		l.born = append(l.born, l.now)
	}
}

func (l *lives) relist(t *rapid.T) { l.list(rapid.IntRange(-1, len(l.born)-1).Draw(t, "listed life")) }

// answer is an answer of a life, maybe long on its way: its request was sent in that life.
func (l *lives) answer(t *rapid.T) {
	life := rapid.IntRange(0, len(l.born)-1).Draw(t, "life")
	n := vetchtrail.Notice{
		Leaving: rapid.IntRange(0, 3).Draw(t, "leaving") == 0, Heard: l.now, Asked: l.born[life].Add(time.Millisecond),
	}
	if pause := rapid.IntRange(-5, 20).Draw(t, "pause"); pause > 0 {
		n.Until = n.Heard.Add(time.Duration(pause) * time.Second)
		l.pauses[life] = vetchtrail.Later(l.pauses[life], n.Until)
	}
	l.table.Noticed(l.endpoint(life), n, nil)
	l.note(life, n.Leaving, n.Heard)
}

// released is the end of a request that the endpoint turned away without naming a time, or answered.
func (l *lives) released(t *rapid.T) {
	if l.listed < 0 {
		return
	}
	o := vetchtrail.Outcome{Kind: vetchtrail.Answered, Step: vetchtrail.StepAnswer, Status: 200}
	if rapid.Bool().Draw(t, "refused") {
		o = vetchtrail.Outcome{Kind: vetchtrail.NotRun, Step: vetchtrail.StepAnswer, Reason: vetchtrail.ReasonRefused, RetryAt: l.now.Add(100 * time.Millisecond)}
	}
	l.table.Release("e000", vetchtrail.Observation{Born: l.born[l.listed], Outcome: o}, l.now)
}

// told is what another host tells of a life, some time after it was said.
func (l *lives) told(t *rapid.T) {
	life := rapid.IntRange(0, len(l.born)-1).Draw(t, "life")
	said := vetchtrail.Later(l.now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond), l.born[life].Add(time.Millisecond))
	if life+1 < len(l.born) {
		said = vetchtrail.Earlier(said, l.born[life+1].Add(-time.Millisecond)) // it is over then
	}
	l.table.HearNoticeShort(Short("e000"), l.born[life], vetchtrail.Notice{Leaving: true, Asked: said, Heard: said}, l.now)
	l.note(life, true, said)
}

// note notes a word as it has to stand: of a life that is listed, or that is not known to be over.
func (l *lives) note(life int, leaving bool, said time.Time) {
	if leaving {
		l.leaves[life] = vetchtrail.Later(l.leaves[life], said.Add(wordFor))
	}
}

func (l *lives) report(t *rapid.T) {
	leaving := rapid.Bool().Draw(t, "leaving")
	until := l.now.Add(time.Second)
	if l.table.Report("e000", vetchtrail.LoadReport{At: l.now, Leaving: leaving}, until) && leaving {
		l.others = vetchtrail.Later(l.others, until)
	}
}

func (l *lives) leave(*rapid.T) {
	until := l.now.Add(2 * time.Second)
	l.table.Leave("e000", until)
	l.others = vetchtrail.Later(l.others, until)
}

func (l *lives) misled(*rapid.T) {
	if l.listed < 0 {
		return
	}
	l.table.Release("e000", vetchtrail.Observation{
		Born: l.born[l.listed], Outcome: vetchtrail.Outcome{Kind: vetchtrail.NotRun, Step: vetchtrail.StepAnswer, Reason: vetchtrail.ReasonMisled},
	}, l.now)
	l.others = vetchtrail.Later(l.others, l.now.Add(misledFor))
}

func (l *lives) pass(t *rapid.T) {
	most := 3 * time.Second
	if rapid.IntRange(0, 9).Draw(t, "long") == 0 {
		most = wordFor
	}
	l.now = l.now.Add(time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(most)).Draw(t, "time")))
}

// check: what an endpoint said in the life that is listed stands, whatever else was said since; what it
// said in another life doesn't.
func (l *lives) check(t *rapid.T) {
	if l.listed < 0 {
		return
	}
	why, until := l.table.Bars("e000", l.now)
	leaving, paused := l.now.Before(l.leaves[l.listed]), l.now.Before(l.pauses[l.listed])
	switch {
	case leaving:
		assert.Equal(t, why, vetchtrail.ReasonDraining, "life %d said that it leaves", l.listed)
	case !l.now.Before(l.others) && paused:
		assert.Equal(t, why, vetchtrail.ReasonPaused, "life %d wants nothing", l.listed)
		assert.Equal(t, until, l.pauses[l.listed])
	case !l.now.Before(l.others):
		assert.Equal(t, why, vetchtrail.Reason(""), "life %d wants requests", l.listed)
	}
	if leaving || paused {
		assert.Assert(t, why != "", "life %d wants nothing", l.listed)
		assert.Assert(t, viewOf(l.table, l.now).Away)
		assert.Assert(t, !l.table.Acquire("e000", &vetchtrail.Request{ID: "a", Service: "s"}, l.now))
	}
}

// TestWordStands: whatever is heard in which order, what an endpoint said in its answers stands for its
// life, and for no other.
func TestWordStands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &lives{t: t, table: New(), now: now, born: []time.Time{now}, leaves: map[int]time.Time{}, pauses: map[int]time.Time{}}
		l.list(0)
		t.Repeat(map[string]func(*rapid.T){
			"begin": l.begin, "list": l.relist, "answer": l.answer, "told": l.told, "report": l.report, "leave": l.leave,
			"misled": l.misled, "released": l.released, "pass": l.pass, "": l.check,
		})
	})
}

// TestWordLapses: an endpoint that lives on long after it said that it leaves is asked again, and told of anew
// when it says so again.
func TestWordLapses(t *testing.T) {
	tab := New()
	e := vetchtrail.Endpoint{Name: "e000", Service: "s", Slots: 4}
	tab.Configure([]Placed{{Endpoint: e}})
	said := func(at time.Time) NoticeNews {
		return tab.HearNotice("e000", time.Time{}, vetchtrail.Notice{Leaving: true, Asked: at, Heard: at})
	}
	usable := func(at time.Time) bool { why, _ := tab.Bars("e000", at); return why == "" }
	assert.Assert(t, said(now).Leaves)
	assert.Assert(t, !said(now.Add(time.Minute)).Leaves, "told again")
	assert.Assert(t, !said(now.Add(time.Second)).Leaves, "an older word, told late")
	tab.Release("e000", vetchtrail.Observation{
		Outcome: vetchtrail.Outcome{Kind: vetchtrail.NotRun, Step: vetchtrail.StepAnswer, Reason: vetchtrail.ReasonMisled},
	}, now.Add(time.Minute))
	assert.Assert(t, !usable(now.Add(time.Minute+wordFor-1)), "what stands for a shorter time shortens it")
	again := now.Add(time.Minute + wordFor)
	assert.Assert(t, usable(again))
	assert.Assert(t, said(again).Leaves)
	assert.Assert(t, !usable(again.Add(time.Second)))
	assert.Equal(t, len(tab.Leavers(now.Add(time.Minute), again)), 1)
}

// TestWordOfAbsent: what was said by endpoints that are not listed is kept, bounded, for when they are.
func TestWordOfAbsent(t *testing.T) {
	tab := New()
	for n := range mostAbsent + 10 {
		at := now.Add(time.Duration(n) * time.Millisecond)
		tab.HearNotice(fmt.Sprint("e", n), time.Time{}, vetchtrail.Notice{Leaving: true, Asked: at, Heard: at})
	}
	assert.Equal(t, len(tab.absent), mostAbsent)
	last := fmt.Sprint("e", mostAbsent+9)
	tab.Configure([]Placed{
		{Endpoint: vetchtrail.Endpoint{Name: last, Service: "s", Slots: 4}},
		{Endpoint: vetchtrail.Endpoint{Name: "e0", Service: "s", Slots: 4}},
	})
	why, _ := tab.Bars(last, now.Add(time.Minute))
	assert.Equal(t, why, vetchtrail.ReasonDraining)
	why, _ = tab.Bars("e0", now.Add(time.Minute))
	assert.Equal(t, why, vetchtrail.Reason(""), "the first word lapses first, and goes for the last")
	assert.Equal(t, len(tab.absent), mostAbsent-1)
}

// TestEndsAsItSaid: an endpoint that goes after its word is no failure.
func TestEndsAsItSaid(t *testing.T) {
	cases := map[string]struct{ said, ejected bool }{"it said so": {true, false}, "it did not": {false, true}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := New()
			tab.Configure([]Placed{
				{Endpoint: vetchtrail.Endpoint{Name: "e000", Service: "s", Slots: 9}}, {Endpoint: vetchtrail.Endpoint{Name: "e001", Service: "s", Slots: 9}},
			})
			for n := range failuresTo {
				assert.Assert(t, tab.Acquire("e000", &vetchtrail.Request{ID: fmt.Sprint(n), Service: "s"}, now))
			}
			if c.said {
				tab.HearNotice("e000", time.Time{}, vetchtrail.Notice{Leaving: true, Asked: now, Heard: now})
			}
			for n := range failuresTo {
				tab.Release("e000", vetchtrail.Observation{
					Request: fmt.Sprint(n), Outcome: vetchtrail.Outcome{Kind: vetchtrail.Unknown, Step: vetchtrail.StepAnswer, Reason: vetchtrail.ReasonLost},
				}, now)
			}
			assert.Equal(t, now.Before(tab.endpoints["e000"].ejected), c.ejected)
		})
	}
}

// TestWantsRow: operators see whose word it is that an endpoint leaves, since when, and until when it wants nothing.
func TestWantsRow(t *testing.T) {
	e := vetchtrail.Endpoint{Name: "e000", Service: "s", Slots: 4}
	later := now.Add(time.Minute)
	cases := map[string]struct {
		says func(tab *Table)
		by   LeavingBy
		row  Row
	}{
		"nothing": {func(*Table) {}, "", Row{}},
		"its answers, after the list of hosts": {func(tab *Table) {
			tab.Leave("e000", later)
			tab.HearNotice("e000", time.Time{}, vetchtrail.Notice{Leaving: true, Asked: now, Heard: now})
		}, ByAnswers, Row{LeavingSince: now}},
		"the list of hosts": {func(tab *Table) { tab.Leave("e000", later) }, ByPlatform, Row{}},
		"a load report":     {func(tab *Table) { tab.Report("e000", vetchtrail.LoadReport{At: now, Leaving: true}, later) }, ByReport, Row{}},
		"the list": {func(tab *Table) {
			drained := e
			drained.Draining = true
			tab.Configure([]Placed{{Endpoint: drained}})
		}, ByList, Row{}},
		"wants nothing for a time": {func(tab *Table) {
			tab.HearNotice("e000", time.Time{}, vetchtrail.Notice{Until: later, Asked: now, Heard: now})
		}, "", Row{PausedUntil: later}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := New()
			tab.Configure([]Placed{{Endpoint: e}})
			c.says(tab)
			row := tab.Rows(now)[0]
			assert.Equal(t, row.LeavingBy, c.by)
			assert.Equal(t, row.LeavingSince, c.row.LeavingSince)
			assert.Equal(t, row.PausedUntil, c.row.PausedUntil)
		})
	}
}

// TestStartedAgain: an endpoint whose load report tells that its process started after the word wants requests again; a
// report that tells nothing of its start, or an earlier one, lifts nothing.
func TestStartedAgain(t *testing.T) {
	cases := map[string]struct {
		started time.Time
		bars    vetchtrail.Reason
	}{
		"not told":         {time.Time{}, vetchtrail.ReasonDraining},
		"before the word":  {now.Add(-time.Hour), vetchtrail.ReasonDraining},
		"after it":         {now.Add(time.Second), ""},
		"as it was heard":  {now, vetchtrail.ReasonDraining},
		"long after words": {now.Add(time.Minute), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := New()
			tab.Configure([]Placed{{Endpoint: vetchtrail.Endpoint{Name: "e000", Service: "s", Slots: 4}}})
			tab.HearNotice("e000", time.Time{}, vetchtrail.Notice{Leaving: true, Until: now.Add(time.Hour), Asked: now, Heard: now})
			assert.Assert(t, tab.Report("e000", vetchtrail.LoadReport{At: now.Add(2 * time.Minute), Started: c.started}, time.Time{}))
			why, _ := tab.Bars("e000", now.Add(2*time.Minute))
			assert.Equal(t, why, c.bars)
			assert.Assert(t, heardAll(tab)[0].Said, "others are not told of its start")
		})
	}
}

// BenchmarkFillLeaving: what a decision sees of endpoints of which a tenth said that they leave; nothing is allocated.
// With 267 endpoints it took 30.2 us with none and 30.4 to 32.9 with a tenth (two runs); without the words 25.7 to 28.5 us
// (three runs), since then 29.6 to 30.9 with none leaving.
func BenchmarkFillLeaving(b *testing.B) {
	for _, share := range []int{0, 10} {
		b.Run(fmt.Sprintf("one-in=%d", share), func(b *testing.B) {
			t := table(267)
			n := 0
			for name := range t.endpoints {
				if n++; share > 0 && n%share == 0 {
					t.HearNotice(name, time.Time{}, vetchtrail.Notice{Leaving: true, Asked: now, Heard: now})
				}
			}
			r, v := &vetchtrail.Request{Service: "s"}, vetchtrail.View{}
			b.ReportAllocs()
			for b.Loop() {
				v.Endpoints = v.Endpoints[:0]
				t.Fill(&v, r, now)
			}
		})
	}
}
