package load

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minSpeed and maxSpeed bound an endpoint's speed as a multiple of its service's. Beyond them the cause is
	// more likely a fault than the machine.
	minSpeed = 0.25
	maxSpeed = 4.0
	// maxSpeedCount bounds the observations that a host's mean speed of an endpoint counts for, so that it can still
	// change.
	maxSpeedCount = 50
	// speedPriorCount is the weight of the service's speed (1), in observations. One observation may be wrong by a
	// factor of 2, since the queue at the endpoint is only known from reports.
	speedPriorCount = 1.5
	// An attempt shows the endpoint's speed if few tokens are ahead of its prompt, relative to the prompt's, and its
	// newest report is fresh and has no queued requests.
	maxLightAhead     = 0.25
	maxLightReportAge = time.Second
	// minLightObservations is how many attempts at low load show a service's usual time well enough to compare an
	// endpoint's with it. Fewer are mostly at a part of the endpoints.
	minLightObservations = 30
	// speedSharedFor is how long after its last observation a host sends an endpoint's speed to others. Most hosts
	// have no recent observation of most endpoints, which saves bytes.
	speedSharedFor = 5 * time.Second
	// peerSpeedExpiry is how long a speed that another host sent counts. Observations of each endpoint by some host
	// are more frequent.
	peerSpeedExpiry = time.Minute
	// maxPeerSpeeds bounds the other hosts whose speeds of an endpoint are stored: more than a host exchanges
	// heartbeats with.
	maxPeerSpeeds = 32
	// restartGrace is how long speeds of other hosts are ignored for an endpoint that started again under its name:
	// the others may not know of the new process instance yet, and send the speed of the earlier one.
	restartGrace = speedSharedFor
)

// speed is how fast an endpoint processes prompts relative to its service. It is learned from the times to
// the first byte at low load, and combined with the observations of other hosts. Logarithms are averaged, so that
// an endpoint of half the speed is as far from the mean as one of twice the speed.
type speed struct {
	value      float64 // combined and shrunk towards 1
	logMean    float64 // of this host's observations
	count      int     // of this host's observations, at most maxSpeedCount
	observedAt time.Time
	peers      []peerSpeed
	ignoreTo   time.Time // other hosts' speeds are ignored until then; zero: not known yet
}

// peerSpeed is an endpoint's speed by the observations of another host.
type peerSpeed struct {
	from       uint32 // hash of the host's name
	count      int
	logMean    float64
	receivedAt time.Time
}

// observe records an observation of this host.
func (s *speed) observe(ratio float64, now time.Time) {
	s.count = min(s.count+1, maxSpeedCount)
	s.logMean += (math.Log(clampSpeed(ratio)) - s.logMean) / float64(s.count)
	s.observedAt = now
	s.combine()
}

// combine updates the value.
func (s *speed) combine() {
	sum, count := s.logMean*float64(s.count), float64(s.count)
	for i := range s.peers {
		sum += s.peers[i].logMean * float64(s.peers[i].count)
		count += float64(s.peers[i].count)
	}
	s.value = clampSpeed(math.Exp(sum / (count + speedPriorCount)))
}

// recordPeer stores the speed that another host sent, in place of its earlier one, of an expired one, or of the
// oldest one where there are too many.
func (s *speed) recordPeer(p peerSpeed) {
	oldest := -1
	for i := range s.peers {
		if s.peers[i].from == p.from {
			oldest = i
			break
		}
		if oldest < 0 || s.peers[i].receivedAt.Before(s.peers[oldest].receivedAt) {
			oldest = i
		}
	}
	if oldest >= 0 && (s.peers[oldest].from == p.from || len(s.peers) >= maxPeerSpeeds || p.receivedAt.Sub(s.peers[oldest].receivedAt) > peerSpeedExpiry) {
		s.peers[oldest] = p
	} else {
		s.peers = append(s.peers, p)
	}
	s.combine()
}

func clampSpeed(ratio float64) float64 { return math.Min(math.Max(ratio, minSpeed), maxSpeed) }

// own returns the speed by this host's observations alone, for other hosts; zeros: there are no recent ones.
func (s *speed) own(now time.Time) (value float64, count int) {
	if s.count == 0 || now.Sub(s.observedAt) > speedSharedFor {
		return 0, 0
	}
	return math.Exp(s.logMean), s.count
}

// RecordPeerSpeed records the speed of an endpoint by the observations of another host. The endpoint is given by the
// hash of its name (NameHash). It is ignored while the endpoint has reported no slowdown.
func (t *Table) RecordPeerSpeed(from string, nameHash uint32, value float64, count int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byNameHash[nameHash]
	if !ok || s.uneven == nil || !(value > 0) || count <= 0 {
		return
	}
	sp := &s.uneven.speed
	if s.restarted && sp.ignoreTo.IsZero() {
		sp.ignoreTo = now.Add(restartGrace)
	}
	if now.Before(sp.ignoreTo) {
		return
	}
	sp.recordPeer(peerSpeed{from: uint32(xxhash.Sum64String(from)), count: min(count, maxSpeedCount), logMean: math.Log(clampSpeed(value)), receivedAt: now})
}

// isLightlyLoaded reports whether a prompt that is sent now shows the endpoint's speed.
func (s *endpointState) isLightlyLoaded(p *pendingPrompt) bool {
	return s.uneven != nil && s.hasReport && s.report.Queued == 0 && p.sentAt.Sub(s.report.TakenAt) <= maxLightReportAge &&
		p.tokens >= minObservedTokens && p.tokensAhead <= maxLightAhead*float64(p.tokens)
}

// observeFirstByte updates the endpoint's speed and the service's statistics with the time to the first byte after a
// prompt was sent.
func (t *Table) observeFirstByte(s *endpointState, p pendingPrompt, now time.Time) {
	svc, tokens, seconds := t.serviceStats[s.Service], p.tokensAhead+float64(p.tokens), now.Sub(p.sentAt).Seconds()
	if s.uneven != nil {
		slowdown := t.pastSlowdown(s, seconds, now)
		if p.slowdown > 0 {
			slowdown = (slowdown + p.slowdown) / 2 // by the reports at both ends of the time
		}
		if p.light && seconds > 0 {
			if base, token := svc.lightFit.line(); svc.lightFit.count >= minLightObservations {
				s.uneven.speed.observe((base+token*tokens)*slowdown/seconds, now)
			}
			svc.lightFit.observe(tokens, seconds/slowdown)
		}
		seconds *= s.uneven.speed.value / slowdown
	}
	svc.prefillFit.observe(tokens, seconds)
	svc.promptStats.observe(tokens, seconds)
}
