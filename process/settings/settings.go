// Package settings reads and checks the settings file of one daemon, with the host's name, its
// addresses, those of the platform, and limits. What applies to the whole system, such as services
// and routes, is not in the settings but in the configuration, which is persisted on the platform.
package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"

	"vetchtrail"
	"vetchtrail/connection/peer"
	"vetchtrail/process/demand"
	"vetchtrail/process/quotas"
	"vetchtrail/request/policy"
	"vetchtrail/version/document"
)

// Settings is the content of a daemon's settings file.
type Settings struct {
	Host       string           `yaml:"host"`        // name of the host, unique in the system
	Region     string           `yaml:"region"`      // region of the host
	DataCentre string           `yaml:"data_centre"` // data centre of the host
	Listen     Listen           `yaml:"listen"`
	Platform   Platform         `yaml:"platform"`
	Seeds      []netip.AddrPort `yaml:"seeds"`     // peer addresses of some hosts in any data centre, for discovery of the others
	Translate  []Translation    `yaml:"translate"` // networks that this host reaches under other addresses
	Policy     string           `yaml:"policy"`    // name of the policy that decides where requests run
	// SwitchedOff names the mechanisms that are not used, in order to measure their effect.
	SwitchedOff []vetchtrail.Mechanism `yaml:"switched_off"`
	Limits      Limits                 `yaml:"limits"`
	Timing      Timing                 `yaml:"timing"`
	Explain     bool                   `yaml:"explain"` // name the endpoint in a header of each response
	Log         Log                    `yaml:"log"`
	TLS         TLS                    `yaml:"tls"`
	Retries     Retries                `yaml:"retries"`
	Quotas      Quotas                 `yaml:"quotas"`
	Placement   Placement              `yaml:"placement"`
	Admission   Admission              `yaml:"admission"`
}

// Listen holds the addresses that the daemon listens on. Callers and Peers are required.
type Listen struct {
	Callers netip.AddrPort `yaml:"callers"`
	// Ready serves the readiness probe of a hosted platform, Directory serves callers of a
	// hosted platform the list of hosts to use, and Metrics serves the process's metrics.
	Ready     netip.AddrPort `yaml:"ready"`
	Directory netip.AddrPort `yaml:"directory"`
	Metrics   netip.AddrPort `yaml:"metrics"`
	Peers     netip.AddrPort `yaml:"peers"` // for other hosts and operators
}

// Platform describes the platform and holds its addresses. Hosts is optional.
type Platform struct {
	// Kind is own if the configuration, with the endpoints, is in this project's change log
	// in the store. It is hosted if the platform has its own configuration and its own list
	// of endpoints.
	Kind  string         `yaml:"kind"`
	Store netip.AddrPort `yaml:"store"` // the key-value service
	Hosts netip.AddrPort `yaml:"hosts"` // the service that lists live and leaving endpoints
	// DataCentres maps each data centre of a hosted platform to its region.
	DataCentres map[string]string `yaml:"data_centres"`
	// Weights holds the weights of services on a hosted platform, whose configuration has none.
	Weights Weights `yaml:"weights"`
	// KnownWithin is the time within which a leaving endpoint or a new configuration must be
	// known to all hosts of a hosted platform.
	KnownWithin time.Duration `yaml:"known_within"`
	// Contracts are the names of the hosted platform's contracts that the deployment is under.
	Contracts []string `yaml:"contracts"`
}

// Weights holds the weights of services by their kind.
type Weights struct {
	Model document.Weights `yaml:"model"`
	Plain document.Weights `yaml:"plain"`
}

// Kinds of platform.
const (
	PlatformOwn    = "own"
	PlatformHosted = "hosted"
)

// Retries bounds the retries for a service: in any span of length Window, they are at most Share of
// the requests plus Base. The bound holds for all hosts together on a hosted platform, and for each
// process otherwise. The requests are those in that span, in the one half a Window earlier or in the one before it,
// whichever are most.
type Retries struct {
	Window time.Duration `yaml:"window"`
	Share  float64       `yaml:"share"` // retries for each request
	Base   float64       `yaml:"base"`  // retries in addition to the share
}

// Quotas sets how the quotas of workspaces are enforced, and the tolerance by which all hosts
// together may exceed one: in any window, they run at most
// (rate x window + burst) x (1 + overage) + slack units.
type Quotas struct {
	Strategy string        `yaml:"way"` // one of quotas.Strategies: leased, told or equal
	Window   time.Duration `yaml:"window"`
	Overage  float64       `yaml:"overage"`
	Slack    float64       `yaml:"slack"` // units
}

// Placement sets by what endpoints are chosen.
type Placement struct {
	// BySpeed lets the speed and the slowdown of endpoints enter the choice, where they report a
	// slowdown. It takes prompts away from the endpoints that have cached them.
	BySpeed bool `yaml:"by_speed"`
}

// Admission sets where requests are admitted by shares of the supply while a service is short of
// capacity.
type Admission struct {
	Enforce demand.Enforcement `yaml:"enforce"` // always, auto, observe or never
}

// Translation maps the addresses of a network to those under which this host reaches it.
type Translation struct {
	From netip.Prefix `yaml:"from"`
	To   netip.Prefix `yaml:"to"`
}

// Limits holds the limits of the daemon and the capacity of its host.
type Limits struct {
	Body    int `yaml:"body"`    // maximum size of a caller's request body, in bytes
	Records int `yaml:"records"` // maximum size of the responses stored for repeated requests, in bytes
	Memory  int `yaml:"memory"`  // memory for the process, in MB; 0: unbounded
	// Buffers bounds what is buffered for all connections together, in MB; 0: unbounded.
	Buffers int `yaml:"buffers"`
	// Link and Processor are the capacity of the host, by which it is weighted against other
	// hosts; 0: unknown.
	Link      float64 `yaml:"link"`      // Mbit/s
	Processor float64 `yaml:"processor"` // cores
}

// Timing holds the daemon's intervals and timeouts.
type Timing struct {
	Poll    time.Duration `yaml:"poll"`     // interval between polls of an endpoint's load report
	KeyTime time.Duration `yaml:"key_time"` // lifetime of an idempotency key
	Leave   time.Duration `yaml:"leave"`    // from announcing a stop to closing the listener
	Grace   time.Duration `yaml:"grace"`    // from the signal to stop to being killed; 0: unlimited
}

// Log holds the format and level of the daemon's log.
type Log struct {
	Format string `yaml:"format"` // text or json
	Level  string `yaml:"level"`  // debug, info, warn or error
}

// TLS names the files for mutual TLS among hosts and operators. Without TLS, the listener for
// peers must have a loopback address, unless PrivateNetwork is set.
type TLS struct {
	Certificate string `yaml:"certificate"` // PEM file with this host's certificate
	Key         string `yaml:"key"`         // PEM file with the key of Certificate
	Authority   string `yaml:"authority"`   // PEM file with the authority that signs the certificates of hosts and operators
	// PrivateNetwork confirms that nobody else can reach the hosts' network. Peers may then
	// have any address without TLS.
	PrivateNetwork bool `yaml:"private_network"`
}

// On reports whether any of the TLS files is set.
func (t TLS) On() bool { return t.Certificate != "" || t.Key != "" || t.Authority != "" }

const (
	defaultBodyBytes    = 4 << 20
	defaultRecordsBytes = 64 << 20
	minPoll             = 50 * time.Millisecond
	maxPoll             = 10 * time.Second
	minKeyTime          = time.Minute
	maxKeyTime          = 24 * time.Hour
	maxLeave            = time.Minute
	// defaultKnownWithin is the shortest time that a deployment requires.
	defaultKnownWithin = 3 * time.Second
	minKnownWithin     = time.Second
	maxKnownWithin     = time.Minute
	maxBodyBytes       = 64 << 20
	bytesPerMB         = 1 << 20
	// minBuffers is the lowest bound in MB within which the largest response that is read whole,
	// 4 MB, fits into the quarter for such responses.
	minBuffers = 16
	// bodiesInBuffers is the lowest ratio of limits.buffers to limits.body: half of the bound is
	// for bodies, and one of the largest must fit.
	bodiesInBuffers = 2
)

// Default weights of services on a hosted platform. A cost of 1 is a second of waiting for the
// first token.
const (
	// tailWeight is the cost of a second of predicted time to the first token.
	tailWeight = 1
	// awayWeight is the cost of forwarding a request out of this host's region, in addition to
	// the network delay. It is just enough to prefer this host's region among equal
	// candidates, so that links between regions carry no needless traffic.
	awayWeight = 0.02
	// costWeight is the cost of a second of an endpoint's time: the more time requests take,
	// the fewer are served at peak load.
	costWeight = 0.2
	// readWeight is the cost of a second in which an endpoint reads prompt tokens that it
	// doesn't have cached: all its streams pause meanwhile, some 20 at peak load.
	readWeight = 20
	// maxWeight bounds each weight.
	maxWeight = 1000
)

// Default returns the settings that apply where a file gives no value.
func Default() Settings {
	return Settings{
		Policy: policy.NameWeighted,
		Limits: Limits{Body: defaultBodyBytes, Records: defaultRecordsBytes},
		Timing: Timing{Poll: 500 * time.Millisecond, KeyTime: 15 * time.Minute, Leave: 3 * time.Second},
		Log:    Log{Format: "text", Level: "info"},
		// A tenth of the requests, and a few retries more for a service with little traffic.
		Retries: Retries{Window: 10 * time.Second, Share: 0.1, Base: 5},
		// Without overage and slack, the hosts together may not exceed a quota.
		Quotas:    Quotas{Strategy: quotas.StrategyLeased, Window: 10 * time.Second},
		Admission: Admission{Enforce: demand.EnforceObserve},
		Platform: Platform{Kind: PlatformOwn, KnownWithin: defaultKnownWithin, Weights: Weights{
			Model: document.Weights{Tail: tailWeight, Away: awayWeight, Cost: costWeight, Read: readWeight},
			Plain: document.Weights{Tail: tailWeight, Away: awayWeight},
		}},
	}
}

// Load reads and checks a settings file. Its errors name the file and, where possible, the
// position in it.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings.Load")
	}
	s, err := Parse(text)
	if err != nil {
		return Settings{}, errors.Errorf("settings.Load: %s: %s", path, err)
	}
	return s, nil
}

// Parse reads and checks settings. Unknown keys are errors.
func Parse(text []byte) (Settings, error) {
	s := Default()
	d := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := d.Decode(&s); err != nil {
		return Settings{}, errors.New(withPosition(text, err))
	}
	return s, s.check()
}

// rule is a condition that a setting must meet.
type rule struct {
	violated bool
	name     string // of the setting
	text     string // how the setting violates the rule
}

// check returns an error for the first rule that the settings violate.
func (s *Settings) check() error {
	_, known := policy.ByName(s.Policy, 0)
	for _, r := range []rule{
		{s.Host == "", "host", "is missing"},
		{s.Region == "", "region", "is missing"},
		{s.DataCentre == "", "data_centre", "is missing"},
		{!s.Listen.Callers.IsValid(), "listen.callers", "is missing"},
		{!s.Listen.Peers.IsValid(), "listen.peers", "is missing"},
		{!s.Platform.Store.IsValid(), "platform.store", "is missing"},
		{!known, "policy", "is not one of weighted, round-robin, least-in-flight, two-choices"},
		{s.Limits.Body < 1 || s.Limits.Body > maxBodyBytes, "limits.body", fmt.Sprintf("must be from 1 to %d bytes", maxBodyBytes)},
		{s.Limits.Records < 1, "limits.records", "must be above 0 bytes"},
		{outOfRange(s.Timing.Poll, minPoll, maxPoll), "timing.poll", fmt.Sprintf("must be from %s to %s", minPoll, maxPoll)},
		{outOfRange(s.Timing.KeyTime, minKeyTime, maxKeyTime), "timing.key_time", fmt.Sprintf("must be from %s to %s", minKeyTime, maxKeyTime)},
		{outOfRange(s.Timing.Leave, 0, maxLeave), "timing.leave", fmt.Sprintf("must be from 0s to %s", maxLeave)},
		{s.Log.Format != "text" && s.Log.Format != "json", "log.format", "is not text or json"},
		{s.TLS.On() && (s.TLS.Certificate == "" || s.TLS.Key == "" || s.TLS.Authority == ""), "tls", "needs certificate, key and authority"},
		{s.Platform.Kind != PlatformOwn && s.Platform.Kind != PlatformHosted, "platform.kind", "is not own or hosted"},
		{s.Platform.Kind == PlatformHosted && s.Platform.DataCentres[s.DataCentre] != s.Region, "platform.data_centres",
			"does not map this host's data centre to its region"},
		{outOfRange(s.Platform.KnownWithin, minKnownWithin, maxKnownWithin), "platform.known_within", fmt.Sprintf("must be from %s to %s", minKnownWithin, maxKnownWithin)},
		{invalidWeights(s.Platform.Weights.Model), "platform.weights.model", weightsProblem},
		{invalidWeights(s.Platform.Weights.Plain), "platform.weights.plain", weightsProblem},
		{s.Limits.Memory < 0, "limits.memory", "must not be below 0 MB"},
		{s.Limits.Buffers != 0 && s.Limits.Buffers < minBuffers, "limits.buffers", fmt.Sprintf("must be 0 or at least %d MB", minBuffers)},
		{s.Limits.Buffers != 0 && s.Limits.Buffers*bytesPerMB < bodiesInBuffers*s.Limits.Body, "limits.buffers", "must be 0 or at least twice limits.body"},
		{!(s.Limits.Link >= 0) || !(s.Limits.Processor >= 0), "limits", "must not be below 0"},
		{s.Retries.Window < time.Second, "retries.window", "must be 1s or more"},
		{s.Retries.Share < 0 || s.Retries.Base < 0, "retries", "must not be below 0"},
		{!slices.Contains(quotas.Strategies, s.Quotas.Strategy), "quotas.way", "is not one of " + strings.Join(quotas.Strategies, ", ")},
		{!slices.Contains(demand.Enforcements, s.Admission.Enforce), "admission.enforce", "is not one of always, auto, observe, never"},
		{s.Quotas.Window < time.Second, "quotas.window", "must be 1s or more"},
		{!(s.Quotas.Overage >= 0) || !(s.Quotas.Slack >= 0), "quotas", "must not be below 0"},
		{s.TLS.On() && s.TLS.PrivateNetwork, "tls.private_network", "can't be combined with certificate, key and authority"},
		{!s.TLS.On() && !s.TLS.PrivateNetwork && s.Listen.Peers.IsValid() && !s.Listen.Peers.Addr().IsLoopback(), "listen.peers",
			"must be a loopback address while tls is not set and tls.private_network is false: peers and operators would be unprotected"},
	} {
		if r.violated {
			return errors.Errorf("%s %s", r.name, r.text)
		}
	}
	return s.checkTranslations()
}

// checkTranslations checks that each translation is between IPv4 networks of the same size.
func (s *Settings) checkTranslations() error {
	for i, t := range s.Translate {
		if !t.From.IsValid() || !t.To.IsValid() || t.From.Bits() != t.To.Bits() || !t.From.Addr().Is4() || !t.To.Addr().Is4() {
			return errors.Errorf("translate[%d] needs from and to as IPv4 networks of the same size", i)
		}
	}
	return nil
}

var weightsProblem = fmt.Sprintf("must be from 0 to %d each, with at least one above 0", maxWeight)

// invalidWeights reports whether a weight is out of range or not a number, or all weights are 0.
func invalidWeights(w document.Weights) bool {
	for _, x := range []float64{w.Tail, w.Away, w.Cost, w.Read} {
		if !(x >= 0 && x <= maxWeight) { // negated to catch NaN, too
			return true
		}
	}
	return w == document.Weights{}
}

// outOfRange reports whether d is below low or above high.
func outOfRange(d, low, high time.Duration) bool { return d < low || d > high }

// Translations returns Translate in the form that the client for peers needs.
func (s *Settings) Translations() []peer.Translation {
	out := make([]peer.Translation, 0, len(s.Translate))
	for _, t := range s.Translate {
		out = append(out, peer.Translation{From: t.From, To: t.To})
	}
	return out
}

// YAML returns the settings as the text of a settings file.
func (s *Settings) YAML() ([]byte, error) {
	out, err := yaml.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "settings.YAML")
	}
	return out, nil
}
