// Package membership knows the hosts: those of this data centre by gossiped
// heartbeat counters, those of the others by digests. It lives for the
// process.
package membership

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/schema"
)

// Intervals and numbers that the traffic between hosts follows from.
const (
	Tick         = 500 * time.Millisecond // between heartbeats
	Fanout       = 2                      // hosts asked at a tick
	suspectAfter = 2 * time.Second
	deadAfter    = 4 * time.Second
	forgetAfter  = time.Minute
	SwapTick     = time.Second // between digests to another data centre
	// RelayEvery is how often a host of this data centre is handed on a digest of
	// another that tells of nothing urgent.
	RelayEvery = 2 * time.Second
	// standby is the age of a digest at which the second host for its data centre
	// swaps for it: the first may be slow or cut off from it.
	standby       = 5 * SwapTick / 2
	reachableFor  = 3 * time.Second
	leavingFor    = 10 * time.Minute
	unreachedTime = 2 * time.Second // for which a host is passed nothing after a forward to it was lost
)

// Config is what a Membership needs.
type Config struct {
	Self  vetchtrail.Host
	Seeds []netip.AddrPort // peers of any data centre
	Load  *load.Table
	// Rates takes what other hosts know of the rates that endpoints name; nil: nobody does.
	Rates Rates
	// Notices takes what other hosts know of endpoints that leave; nil: nobody does.
	Notices  Notices
	Revision func() uint64
	Log      *slog.Logger
	Seed     uint64 // of the random choice of peers
	// WholeRegion says that hosts call the endpoints of their whole region, so that
	// nothing is passed on within it.
	WholeRegion bool
}

// Rates takes what another host knows of an endpoint's rate.
type Rates interface {
	Learn(m *schema.EndpointRate)
}

// Notices takes what another host knows of an endpoint that leaves.
type Notices interface {
	Learn(from string, m *schema.EndpointLeaves)
}

// Membership is a host's view of the others.
type Membership struct {
	cfg Config

	mu      sync.Mutex
	rnd     *rand.Rand
	self    vetchtrail.Host
	short   uint32 // form of this host's incarnation
	shortAt uint64 // the incarnation that it is of
	born    time.Time
	counter uint64
	members map[string]*member
	shorts  map[uint32]string // names by their short forms
	remotes map[string]*remote
	seeds   []netip.AddrPort
	listed  []vetchtrail.Host       // by the platform
	lists   bool                    // the platform's lists were told at all
	met     map[netip.AddrPort]bool // hosts of this data centre that others told of, not known yet
	avoid   map[string]time.Time    // until when a host of another data centre is passed nothing, by name
}

// member is a host of this data centre.
type member struct {
	vetchtrail.Host
	counter uint64
	short   uint32               // form of its incarnation
	said    vetchtrail.HostState // by the host itself
	digests map[string]relayed   // newest digest sent to it, by data centre
	told    told
	missing bool     // it told less of something than we hold
	lacks   []string // data centres whose members it said to lack
}

// told is what another host was told in full, so that it is told less again.
// It is told in full again when it asks, when a message failed, and now and then.
type told struct {
	hosts    map[uint32]bool            // by the short forms of their incarnations
	loads    uint64                     // how many reports this host had taken
	rates    map[string]load.NamedLimit // that endpoints named
	leaves   time.Time                  // until when what this host had learned of endpoints that leave
	messages int
}

// fullEvery is after how many messages all is told in full again.
const fullEvery = 32

// next counts a message and forgets now and then.
func (t *told) next() {
	if t.messages%fullEvery == 0 {
		*t = told{hosts: map[uint32]bool{}, rates: map[string]load.NamedLimit{}, messages: t.messages}
	}
	t.messages++
}

// forget makes the next message a full one.
func (t *told) forget() { t.messages = 0 }

// forgetTold makes the next message to a host a full one, with other data centres' members.
func (b *member) forgetTold() {
	b.told.forget()
	clear(b.digests)
}

// New returns a membership that knows this host only.
func New(c Config) *Membership {
	m := &Membership{
		cfg:     c,
		rnd:     rand.New(rand.NewPCG(c.Seed, c.Seed>>1)),
		self:    c.Self,
		born:    time.Now(),
		members: map[string]*member{},
		shorts:  map[uint32]string{},
		remotes: map[string]*remote{},
		avoid:   map[string]time.Time{},
		met:     map[netip.AddrPort]bool{},
		seeds:   c.Seeds,
	}
	return m
}

// Self returns this host as it tells others.
func (m *Membership) Self() vetchtrail.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfNow()
}

func (m *Membership) selfNow() vetchtrail.Host {
	h := m.self
	h.Revision = m.cfg.Revision()
	h.Heard = time.Now()
	return h
}

// selfShort is the short form of this host's incarnation. The caller holds the lock.
func (m *Membership) selfShort() uint32 {
	if m.shortAt != m.self.Incarnation {
		m.short, m.shortAt = shortOf(m.self.Name, m.self.Incarnation), m.self.Incarnation
	}
	return m.short
}

// SetState sets what this host says of itself.
func (m *Membership) SetState(s vetchtrail.HostState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = s
	m.counter++
}

// Hosts returns the hosts of this data centre, this one first, the others by
// name; those long dead are forgotten.
func (m *Membership) Hosts(now time.Time) []vetchtrail.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hosts(now)
}

func (m *Membership) hosts(now time.Time) []vetchtrail.Host {
	out := []vetchtrail.Host{m.selfNow()}
	for _, b := range m.members {
		h := b.Host
		h.State = b.state(now)
		out = append(out, h)
	}
	slices.SortFunc(out[1:], func(a, b vetchtrail.Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// state is what a member said, unless its heartbeats stopped.
func (b *member) state(now time.Time) vetchtrail.HostState {
	switch silent := now.Sub(b.Heard); {
	case silent > deadAfter:
		return vetchtrail.HostDead
	case silent > suspectAfter:
		return vetchtrail.HostSuspect
	}
	return b.said
}

// Find returns a host of any data centre by its name.
func (m *Membership) Find(name string, now time.Time) (vetchtrail.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if name == m.self.Name {
		return m.selfNow(), true
	}
	if b, ok := m.members[name]; ok {
		h := b.Host
		h.State = b.state(now)
		return h, true
	}
	for _, d := range m.remotes {
		for _, line := range d.digest.GetMembers() {
			if line.GetName() == name {
				return d.host(line), true
			}
		}
	}
	return vetchtrail.Host{}, false
}

func (d *remote) host(line *schema.Member) vetchtrail.Host {
	h := hostOf(line)
	h.Region, h.DataCentre, h.Heard = d.digest.GetRegion(), d.digest.GetDataCentre(), d.at
	return h
}

func hostOf(line *schema.Member) vetchtrail.Host {
	callers, _ := netip.ParseAddrPort(line.GetCallers())
	peers, _ := netip.ParseAddrPort(line.GetPeers())
	return vetchtrail.Host{
		Name: line.GetName(), Callers: callers, Peers: peers, Incarnation: line.GetIncarnation(),
		Revision: line.GetRevision(), State: vetchtrail.HostState(line.GetState()), Capacity: line.GetCapacity(),
	}
}

// OnDuty says whether this host is among the first n of its data centre's live
// hosts for a duty, by rendezvous hashing. Hosts with different views may
// both think so for a while: a duty must bear being done twice.
func (m *Membership) OnDuty(duty string, n int, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	mine := weigh(duty, m.self.Name)
	before := 0
	for _, b := range m.members {
		if b.works(now) && weigh(duty, b.Name) > mine {
			before++
		}
	}
	return before < n
}

// works says whether a member does duties.
func (b *member) works(now time.Time) bool {
	s := b.state(now)
	return s == vetchtrail.HostReady || s == vetchtrail.HostStarting
}

func weigh(duty, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(duty)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// Ahead returns a host that said to hold a newer revision than ours.
func (m *Membership) Ahead(now time.Time) (vetchtrail.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	best := vetchtrail.Host{Revision: m.cfg.Revision()}
	for _, b := range m.members {
		if b.Revision > best.Revision && b.state(now) <= vetchtrail.HostLeaving {
			best = b.Host
		}
	}
	for _, d := range m.remotes {
		for _, line := range d.digest.GetMembers() {
			if d.digest.GetNewest() > best.Revision && line.GetName() == d.digest.GetNewestHost() && now.Sub(d.at) < reachableFor {
				best = d.host(line)
				best.Revision = d.digest.GetNewest()
			}
		}
	}
	return best, best.Name != ""
}
