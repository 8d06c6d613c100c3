// Package membership tracks the hosts of the system and what they report to
// each other.
//
// Hosts of one data centre exchange heartbeats by gossip. A host whose
// heartbeat counter stops growing is suspected, then taken for dead. Hosts of
// different data centres exchange digests: each side sends a summary of its data
// centre, with the members and the free capacity of the services. Digests are
// then relayed within the data centre on the heartbeats. Heartbeats also carry
// load reports, rate limits and leaving endpoints of the data centre. Digest
// exchanges within a region carry leaving endpoints.
//
// From this view the package assigns tasks to hosts by rendezvous hashing, and
// picks hosts for callers and for forwards. It neither decides where a request
// runs nor stores anything: the view starts empty with each process. There is
// no consensus, so two hosts may hold different views for a while.
package membership

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/schema"
)

// Intervals, ages and sizes that set the traffic between hosts.
const (
	HeartbeatInterval = 500 * time.Millisecond // between heartbeats
	Fanout            = 2                      // gossip peers that a host sends heartbeats to at each HeartbeatInterval
	suspectAfter      = 2 * time.Second        // time without a newer heartbeat after which a host is suspect
	deadAfter         = 4 * time.Second        // time without a newer heartbeat after which a host counts as dead
	forgetAfter       = time.Minute            // time without a newer heartbeat after which a host is removed
	DigestInterval    = time.Second            // between digest exchanges with a remote data centre
	// RelayInterval is the minimum time between two relays of one data centre's
	// digest to the same host, unless the digest reports a newer configuration or
	// is sent with its members.
	RelayInterval = 2 * time.Second
	// standbyAfter is the age of a data centre's digest from which a second host
	// exchanges digests with that data centre too: the first may be slow or cut
	// off from it.
	standbyAfter     = 5 * DigestInterval / 2
	reachableFor     = 3 * time.Second  // age of its digest from which a data centre counts as unreachable
	leavingReportTTL = 10 * time.Minute // how long an endpoint counts as leaving after another host relayed a load report that says so
	avoidTime        = 2 * time.Second  // how long nothing is forwarded to a host after it lost a forward, or refused one because it is leaving
	// avoidServiceTime is how long requests for a service are not forwarded to a host that reaches none of its
	// endpoints. By then its heartbeats and the digest of its data centre report that.
	avoidServiceTime = time.Second
)

// Config configures a Membership.
type Config struct {
	Self  vetchtrail.Host
	Seeds []netip.AddrPort // peer addresses of hosts in any data centre, contacted until they are known
	Load  *load.Table      // where received load reports go, and those to send come from
	// RateLimits receives the rate limits of endpoints that other hosts report; nil ignores
	// them.
	RateLimits RateLimits
	// LeavingEndpoints receives the leaving endpoints that other hosts report; nil ignores
	// them.
	LeavingEndpoints LeavingEndpoints
	// Demands holds the demand for services, which hosts exchange; nil exchanges none.
	Demands  Demands
	Revision func() uint64 // returns the revision of the newest configuration that this host holds
	// Regions returns the number of regions in that configuration; nil: one.
	Regions    func() int
	Log        *slog.Logger
	RandomSeed uint64 // for the random choices of hosts
	// CallsWholeRegion is set if hosts call the endpoints of their whole region
	// directly, so that no request is forwarded within the region.
	CallsWholeRegion bool
	// HeavyTasks are tasks that take much of a host's link or processor. They are left to the hosts
	// with the greatest capacity as far as possible.
	HeavyTasks []string
}

// RateLimits receives the rate limit of an endpoint that another host reports.
type RateLimits interface {
	RecordFromPeer(m *schema.EndpointRate)
}

// LeavingEndpoints receives a leaving endpoint that the host named from reports.
type LeavingEndpoints interface {
	RecordFromPeer(from string, m *schema.EndpointLeaves)
}

// Demands is the demand for services, as hosts exchange it. Its methods are called while
// Membership is locked, and must not call it, except for LiveHosts.
type Demands interface {
	// HeartbeatDemands returns this host's own demand.
	HeartbeatDemands(now time.Time) []*schema.ServiceDemand
	// RecordHeartbeat receives the demand of another host of this data centre.
	RecordHeartbeat(from string, demands []*schema.ServiceDemand, now time.Time)
	// DigestDemand sets the supply of a service and the demand of this data centre in the digest of
	// the service. They stay 0 where nothing is measured.
	DigestDemand(service string, now time.Time, d *schema.ServiceDigest)
	// RecordDigest receives the supply and the demand of another data centre.
	RecordDigest(region, dataCentre string, s *schema.ServiceDigest, at time.Time)
}

// Membership is one host's view of the other hosts. It is safe for concurrent
// use; mu guards all fields but cfg.
type Membership struct {
	cfg Config

	mu                 sync.Mutex
	rng                *rand.Rand
	self               vetchtrail.Host
	shortID            uint32 // cached short ID of this host
	shortIDIncarnation uint64 // incarnation that shortID was computed for
	startedAt          time.Time
	counter            uint64             // of this host's heartbeats
	members            map[string]*member // other hosts of this data centre, by name
	namesByShortID     map[uint32]string
	remotes            map[string]*remote // remote data centres, by name
	seeds              []netip.AddrPort   // those of the settings and of the listed hosts
	listedHosts        []vetchtrail.Host  // on the platform's listing
	haveListing        bool               // whether a listing was set, even an empty one
	// introduced holds peer addresses in this data centre that another host
	// sent and whose hosts are not known yet.
	introduced map[netip.AddrPort]bool
	avoidUntil map[avoided]time.Time // when forwards to a host resume
	// unreachable are the hashes of the names of the services of which this host reaches no endpoint, as it last
	// reported them.
	unreachable []uint32
	cutOffUntil time.Time // until when this host counts as cut off, see updateCutOff

	liveHosts   atomic.Int64 // see LiveHosts; not guarded by mu
	regionHosts atomic.Int64 // see RegionHosts; not guarded by mu
	regionCount atomic.Int64 // see RegionCount; not guarded by mu
}

// member is another host of this data centre.
type member struct {
	vetchtrail.Host
	counter        uint64                // of its newest heartbeat
	shortID        uint32                // see shortIDOf
	reported       vetchtrail.HostState  // by the host itself
	unreachable    []uint32              // as Membership.unreachable, by the host itself
	relayed        map[string]relayState // what was last relayed to it, by data centre
	sentState      sentState
	wantFull       bool     // whether to request a full heartbeat from it: it sent an unknown short ID, or its last one was lost
	lacksMembersOf []string // data centres whose members it requested in its last heartbeat
}

// sentState records what another host was already sent, so that the next
// heartbeat can leave it out. It is reset when the other host requests a full
// heartbeat, when a heartbeat to it failed, and every fullEvery heartbeats.
type sentState struct {
	shortIDs    map[uint32]bool                     // hosts whose full entry it has
	loadsUpTo   uint64                              // sequence number of the newest load report at the last heartbeat
	rateLimits  map[string]load.AdvertisedRateLimit // by endpoint
	leavingUpTo time.Time                           // time up to which recorded leaving endpoints were sent; zero: none were sent
	messages    int                                 // heartbeats sent since the last reset
}

// fullEvery is the number of heartbeats after which one is sent in full again.
const fullEvery = 32

// startMessage counts a heartbeat. It clears the state if the heartbeat is to be a full one.
func (s *sentState) startMessage() {
	if s.messages%fullEvery == 0 {
		*s = sentState{shortIDs: map[uint32]bool{}, rateLimits: map[string]load.AdvertisedRateLimit{}, messages: s.messages}
	}
	s.messages++
}

// reset makes the next heartbeat a full one.
func (s *sentState) reset() { s.messages = 0 }

// resetSent makes the next heartbeat to a host a full one. It also clears the record
// of digests that were relayed to the host, so that they may be relayed again.
func (b *member) resetSent() {
	b.sentState.reset()
	clear(b.relayed)
}

// New returns a membership whose only host is this one.
func New(c Config) *Membership {
	m := &Membership{
		cfg:            c,
		rng:            rand.New(rand.NewPCG(c.RandomSeed, c.RandomSeed>>1)),
		self:           c.Self,
		startedAt:      time.Now(),
		members:        map[string]*member{},
		namesByShortID: map[uint32]string{},
		remotes:        map[string]*remote{},
		avoidUntil:     map[avoided]time.Time{},
		introduced:     map[netip.AddrPort]bool{},
		seeds:          c.Seeds,
	}
	m.liveHosts.Store(1)
	m.regionHosts.Store(1)
	m.regionCount.Store(1)
	return m
}

// LiveHosts returns the number of live hosts of this data centre at this host's last heartbeat,
// with this one. It takes no lock.
func (m *Membership) LiveHosts() int { return int(m.liveHosts.Load()) }

// RegionHosts returns the number of live hosts of this region at this host's last heartbeat,
// with this one. Data centres without a recent digest don't count. It takes no lock.
func (m *Membership) RegionHosts() int { return int(m.regionHosts.Load()) }

// RegionCount returns the number of this region's hosts that are known or listed, at this host's last heartbeat
// or listing. This host counts, and so do dead hosts that are not forgotten yet: what endpoints of the region bear of
// all its hosts is divided by it. It takes no lock.
func (m *Membership) RegionCount() int { return int(m.regionCount.Load()) }

// remoteRegionHosts returns the number of hosts in the reachable other data centres of this
// region. The caller holds the lock.
func (m *Membership) remoteRegionHosts(now time.Time) int {
	sum := 0
	for _, d := range m.remotes {
		if d.digest.GetRegion() == m.self.Region && now.Sub(d.digestTime) < reachableFor {
			sum += len(d.digest.GetMembers())
		}
	}
	return sum
}

// Self returns this host as it reports itself to others.
func (m *Membership) Self() vetchtrail.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfAt(time.Now())
}

// selfAt returns this host with its current revision, as it reports itself at a time. The caller holds the lock.
func (m *Membership) selfAt(now time.Time) vetchtrail.Host {
	h := m.self
	h.Revision = m.cfg.Revision()
	h.LastSeen = now
	if h.State == vetchtrail.HostReady && now.Before(m.cutOffUntil) {
		h.State = vetchtrail.HostStarting
	}
	return h
}

// selfShortID returns the short ID of this host. The caller holds the lock.
func (m *Membership) selfShortID() uint32 {
	if m.shortIDIncarnation != m.self.Incarnation {
		m.shortID, m.shortIDIncarnation = shortIDOf(m.self.Name, m.self.Incarnation), m.self.Incarnation
	}
	return m.shortID
}

// SetState sets the state that this host reports. It also increments the heartbeat
// counter, so that other hosts accept the state as newer.
func (m *Membership) SetState(s vetchtrail.HostState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = s
	m.counter++
}

// SetReady sets the state of a starting host to ready. It returns false if the host isn't starting any more.
func (m *Membership) SetReady() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.State != vetchtrail.HostStarting {
		return false
	}
	m.self.State = vetchtrail.HostReady
	m.counter++
	return true
}

// Starting reports whether this host has not been ready yet, nor has begun to leave.
func (m *Membership) Starting() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.State == vetchtrail.HostStarting
}

// LocalHosts returns the hosts of this data centre: this one first, then the others
// by name. Dead hosts are among them until they are forgotten.
func (m *Membership) LocalHosts(now time.Time) []vetchtrail.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hosts(now)
}

// hosts is LocalHosts for a caller that holds the lock.
func (m *Membership) hosts(now time.Time) []vetchtrail.Host {
	out := []vetchtrail.Host{m.selfAt(now)}
	for _, b := range m.members {
		h := b.Host
		h.State = b.state(now)
		out = append(out, h)
	}
	slices.SortFunc(out[1:], func(a, b vetchtrail.Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// state returns the state that a member reported, or suspect or dead if no newer
// heartbeat of it was received for some time.
func (b *member) state(now time.Time) vetchtrail.HostState {
	switch silent := now.Sub(b.LastSeen); {
	case silent > deadAfter:
		return vetchtrail.HostDead
	case silent > suspectAfter:
		return vetchtrail.HostSuspect
	}
	return b.reported
}

// Find returns a host of any data centre by its name. State and LastSeen of a
// remote host are those of its data centre's newest digest.
func (m *Membership) Find(name string, now time.Time) (vetchtrail.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if name == m.self.Name {
		return m.selfAt(now), true
	}
	if b, ok := m.members[name]; ok {
		h := b.Host
		h.State = b.state(now)
		return h, true
	}
	for _, d := range m.remotes {
		for _, entry := range d.digest.GetMembers() {
			if entry.GetName() == name {
				return d.hostOf(entry), true
			}
		}
	}
	return vetchtrail.Host{}, false
}

// hostOf returns the host that an entry of the data centre's digest describes.
func (d *remote) hostOf(entry *schema.Member) vetchtrail.Host {
	h := hostFromEntry(entry)
	h.Region, h.DataCentre, h.LastSeen = d.digest.GetRegion(), d.digest.GetDataCentre(), d.digestTime
	return h
}

// hostFromEntry decodes a full entry. The entry does not contain the host's region
// and data centre.
func hostFromEntry(entry *schema.Member) vetchtrail.Host {
	callers, _ := netip.ParseAddrPort(entry.GetCallers())
	peers, _ := netip.ParseAddrPort(entry.GetPeers())
	return vetchtrail.Host{
		Name: entry.GetName(), CallerAddr: callers, PeerAddr: peers, Incarnation: entry.GetIncarnation(),
		Revision: entry.GetRevision(), State: vetchtrail.HostState(entry.GetState()), Capacity: entry.GetCapacity(),
	}
}

// IsAssigned reports whether this host is among the first n live hosts of its data
// centre for a task, by rendezvous hashing. For a while, hosts with different views
// may each be assigned to it, so a task must tolerate being done by more than n hosts.
func (m *Membership) IsAssigned(task string, n int, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := hashPair(task, m.self.Name)
	before := 0
	for _, b := range m.members {
		if b.takesTasks(now) && hashPair(task, b.Name) > own {
			before++
		}
	}
	return before < n
}

// takesTasks reports whether tasks may be assigned to a member.
func (b *member) takesTasks(now time.Time) bool {
	s := b.state(now)
	return s == vetchtrail.HostReady || s == vetchtrail.HostStarting
}

// hashPair hashes two texts, with a zero byte between them. The hash of a task and a
// host's name is the host's weight in rendezvous hashing, so all hosts must compute
// the same one.
func hashPair(first, second string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(first)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(second)
	return d.Sum64()
}

// NewestAhead returns the host that reported the newest revision, if that is newer
// than this host's. It ignores dead and suspect hosts, and those of unreachable data
// centres.
func (m *Membership) NewestAhead(now time.Time) (vetchtrail.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	best := vetchtrail.Host{Revision: m.cfg.Revision()}
	for _, b := range m.members {
		if b.Revision > best.Revision && b.state(now) <= vetchtrail.HostLeaving {
			best = b.Host
		}
	}
	for _, d := range m.remotes {
		for _, entry := range d.digest.GetMembers() {
			if d.digest.GetNewest() > best.Revision && entry.GetName() == d.digest.GetNewestHost() && now.Sub(d.digestTime) < reachableFor {
				best = d.hostOf(entry)
				best.Revision = d.digest.GetNewest()
			}
		}
	}
	return best, best.Name != ""
}
