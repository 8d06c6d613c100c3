// Package settings reads what one daemon is told of itself: its name, its
// addresses, where the platform is, its limits. What the operators want of the
// whole system is configuration and lives in the platform's service.
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
	"vetchtrail/process/quotas"
	"vetchtrail/request/policy"
	"vetchtrail/version/document"
)

// Settings is a daemon's settings file.
type Settings struct {
	Host       string           `yaml:"host"`        // name, unique in the system
	Region     string           `yaml:"region"`      // where it stands
	DataCentre string           `yaml:"data_centre"` // where it stands
	Listen     Listen           `yaml:"listen"`
	Platform   Platform         `yaml:"platform"`
	Seeds      []netip.AddrPort `yaml:"seeds"`     // peers of some hosts, of any data centre
	Translate  []Translation    `yaml:"translate"` // networks reached under other addresses
	Policy     string           `yaml:"policy"`    // how requests are placed
	// SwitchedOff names mechanisms of the policy that are not used, to measure what
	// they are worth.
	SwitchedOff []vetchtrail.Mechanism `yaml:"switched_off"`
	Limits      Limits                 `yaml:"limits"`
	Timing      Timing                 `yaml:"timing"`
	Explain     bool                   `yaml:"explain"` // say in answers where they were made
	Log         Log                    `yaml:"log"`
	TLS         TLS                    `yaml:"tls"`
	Retries     Retries                `yaml:"retries"`
	Quotas      Quotas                 `yaml:"quotas"`
}

// Listen holds the daemon's own addresses.
type Listen struct {
	Callers netip.AddrPort `yaml:"callers"`
	// Ready and Directory answer the hosted platform's own question and callers
	// that ask where to go; Metrics serves this process's figures.
	Ready     netip.AddrPort `yaml:"ready"`
	Directory netip.AddrPort `yaml:"directory"`
	Metrics   netip.AddrPort `yaml:"metrics"`
	Peers     netip.AddrPort `yaml:"peers"` // of hosts and operators
}

// Platform holds the platform's addresses. Hosts may be left out.
type Platform struct {
	// Kind is own, where the configuration and the endpoints are kept by the
	// project's own log, or hosted, where the platform keeps both.
	Kind  string         `yaml:"kind"`
	Store netip.AddrPort `yaml:"store"`
	Hosts netip.AddrPort `yaml:"hosts"` // the list of live and leaving endpoints
	// DataCentres gives each data centre's region, on a hosted platform.
	DataCentres map[string]string `yaml:"data_centres"`
	// Weights are those of a hosted platform's services, whose configuration has none.
	Weights Weights `yaml:"weights"`
	// KnownWithin is the time in which all hosts must know of an endpoint that leaves a
	// hosted platform, and of a new configuration.
	KnownWithin time.Duration `yaml:"known_within"`
}

// Weights are the weights of services by their kind.
type Weights struct {
	Model document.Weights `yaml:"model"`
	Plain document.Weights `yaml:"plain"`
}

// Kinds of platform.
const (
	PlatformOwn    = "own"
	PlatformHosted = "hosted"
)

// Retries bound the attempts beyond the first of all hosts together.
type Retries struct {
	Window time.Duration `yaml:"window"` // any span of this length counts
	Share  float64       `yaml:"share"`  // of the requests for a service
	Base   float64       `yaml:"base"`   // beside the share
}

// Quotas say how the workspaces' quotas are kept, and by how much the hosts together may
// exceed one: in any window, (rate x window + burst) x (1 + overage) + slack.
type Quotas struct {
	Way     string        `yaml:"way"` // leased, told or equal
	Window  time.Duration `yaml:"window"`
	Overage float64       `yaml:"overage"`
	Slack   float64       `yaml:"slack"` // units
}

// Translation maps a network's addresses to those it is reached under.
type Translation struct {
	From netip.Prefix `yaml:"from"`
	To   netip.Prefix `yaml:"to"`
}

// Limits bound what the daemon takes.
type Limits struct {
	Body    int `yaml:"body"`    // bytes of a caller's request
	Records int `yaml:"records"` // bytes of answers kept for repeats
	Memory  int `yaml:"memory"`  // MB that the process may take; 0: not bounded
	// Link and Processor are the host's, to weigh it against others; 0: not told.
	Link      float64 `yaml:"link"`      // Mbit/s
	Processor float64 `yaml:"processor"` // cores
}

// Timing holds the daemon's intervals.
type Timing struct {
	Poll    time.Duration `yaml:"poll"`     // between two reports of an endpoint
	KeyTime time.Duration `yaml:"key_time"` // from a key's issue to its expiry
	Leave   time.Duration `yaml:"leave"`    // between announcing a stop and closing
	Grace   time.Duration `yaml:"grace"`    // between being told to stop and being killed; 0: no end
}

// Log says how the daemon logs.
type Log struct {
	Format string `yaml:"format"` // text or json
	Level  string `yaml:"level"`  // debug, info, warn or error
}

// TLS names the files that protect what hosts and operators say. Without them
// peers must be on loopback addresses.
type TLS struct {
	Certificate string `yaml:"certificate"` // PEM, of this host
	Key         string `yaml:"key"`         // PEM
	Authority   string `yaml:"authority"`   // PEM, that signed the others'
	// PrivateNetwork says that nobody else reaches the hosts' network: peers are
	// then spoken to without keys on any address.
	PrivateNetwork bool `yaml:"private_network"`
}

// On says whether keys are set.
func (t TLS) On() bool { return t.Certificate != "" || t.Key != "" || t.Authority != "" }

const (
	defaultBody    = 4 << 20
	defaultRecords = 64 << 20
	minPoll        = 50 * time.Millisecond
	maxPoll        = 10 * time.Second
	minKeyTime     = time.Minute
	maxKeyTime     = 24 * time.Hour
	maxLeave       = time.Minute
	// defaultKnown is the shortest time that deployments ask for so far.
	defaultKnown = 3 * time.Second
	minKnown     = time.Second
	maxKnown     = time.Minute
	maxBody      = 64 << 20
)

// Weights that stand where a hosted platform's settings say nothing, in seconds of
// waiting for the first of an answer.
const (
	tailWeight = 1
	// awayWeight is what a request costs beside its way when it leaves its region: as
	// little as tells apart what is alike, so that links carry nothing for nothing.
	awayWeight = 0.02
	// costWeight is what a second of an endpoint's time costs: the more time requests
	// take, the fewer are served at a peak.
	costWeight = 0.2
	// readWeight is what a second costs in which an endpoint reads parts of a prompt
	// that another holds: all its streams pause meanwhile, some 20 at a peak.
	readWeight = 20
	maxWeight  = 1000
)

// Default returns the settings that stand where a file says nothing.
func Default() Settings {
	return Settings{
		Policy: policy.NameWeighted,
		Limits: Limits{Body: defaultBody, Records: defaultRecords},
		Timing: Timing{Poll: 500 * time.Millisecond, KeyTime: 15 * time.Minute, Leave: 3 * time.Second},
		Log:    Log{Format: "text", Level: "info"},
		// A host's own bound where none is set for all: a tenth, and a few that a
		// quiet service starts with.
		Retries: Retries{Window: 10 * time.Second, Share: 0.1, Base: 5},
		// Without an operator's word nothing beyond a quota is allowed.
		Quotas: Quotas{Way: quotas.WayLeased, Window: 10 * time.Second},
		Platform: Platform{Kind: PlatformOwn, KnownWithin: defaultKnown, Weights: Weights{
			Model: document.Weights{Tail: tailWeight, Away: awayWeight, Cost: costWeight, Read: readWeight},
			Plain: document.Weights{Tail: tailWeight, Away: awayWeight},
		}},
	}
}

// Load reads a settings file. Errors tell the file and, where one is at fault,
// the line.
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

// Parse reads settings. Unknown keys are errors.
func Parse(text []byte) (Settings, error) {
	s := Default()
	d := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := d.Decode(&s); err != nil {
		return Settings{}, errors.New(located(text, err))
	}
	return s, s.check()
}

// problem is a setting with what is wrong with it.
type problem struct {
	bad  bool
	name string
	text string
}

func (s *Settings) check() error {
	_, known := policy.ByName(s.Policy, 0)
	for _, p := range []problem{
		{s.Host == "", "host", "is missing"},
		{s.Region == "", "region", "is missing"},
		{s.DataCentre == "", "data_centre", "is missing"},
		{!s.Listen.Callers.IsValid(), "listen.callers", "is missing"},
		{!s.Listen.Peers.IsValid(), "listen.peers", "is missing"},
		{!s.Platform.Store.IsValid(), "platform.store", "is missing"},
		{!known, "policy", "is not one of weighted, round-robin, least-in-flight, two-choices"},
		{s.Limits.Body < 1 || s.Limits.Body > maxBody, "limits.body", fmt.Sprintf("must be from 1 to %d bytes", maxBody)},
		{s.Limits.Records < 1, "limits.records", "must be above 0 bytes"},
		{outside(s.Timing.Poll, minPoll, maxPoll), "timing.poll", fmt.Sprintf("must be from %s to %s", minPoll, maxPoll)},
		{outside(s.Timing.KeyTime, minKeyTime, maxKeyTime), "timing.key_time", fmt.Sprintf("must be from %s to %s", minKeyTime, maxKeyTime)},
		{outside(s.Timing.Leave, 0, maxLeave), "timing.leave", fmt.Sprintf("must be from 0s to %s", maxLeave)},
		{s.Log.Format != "text" && s.Log.Format != "json", "log.format", "is not text or json"},
		{s.TLS.On() && (s.TLS.Certificate == "" || s.TLS.Key == "" || s.TLS.Authority == ""), "tls", "needs certificate, key and authority"},
		{s.Platform.Kind != PlatformOwn && s.Platform.Kind != PlatformHosted, "platform.kind", "is not own or hosted"},
		{s.Platform.Kind == PlatformHosted && s.Platform.DataCentres[s.DataCentre] != s.Region, "platform.data_centres",
			"does not give this host's data centre its region"},
		{outside(s.Platform.KnownWithin, minKnown, maxKnown), "platform.known_within", fmt.Sprintf("must be from %s to %s", minKnown, maxKnown)},
		{badWeights(s.Platform.Weights.Model), "platform.weights.model", weightsText},
		{badWeights(s.Platform.Weights.Plain), "platform.weights.plain", weightsText},
		{s.Limits.Memory < 0, "limits.memory", "is below 0 MB"},
		{!(s.Limits.Link >= 0) || !(s.Limits.Processor >= 0), "limits", "must not be below 0"},
		{s.Retries.Window < time.Second, "retries.window", "must be 1s or more"},
		{s.Retries.Share < 0 || s.Retries.Base < 0, "retries", "must not be below 0"},
		{!slices.Contains(quotas.Ways, s.Quotas.Way), "quotas.way", "is not one of " + strings.Join(quotas.Ways, ", ")},
		{s.Quotas.Window < time.Second, "quotas.window", "must be 1s or more"},
		{!(s.Quotas.Overage >= 0) || !(s.Quotas.Slack >= 0), "quotas", "must not be below 0"},
		{s.TLS.On() && s.TLS.PrivateNetwork, "tls.private_network", "can't stand beside keys"},
		{!s.TLS.On() && !s.TLS.PrivateNetwork && s.Listen.Peers.IsValid() && !s.Listen.Peers.Addr().IsLoopback(), "listen.peers",
			"must be a loopback address while tls is not set and tls.private_network is false: peers and operators would be unprotected"},
	} {
		if p.bad {
			return errors.Errorf("%s %s", p.name, p.text)
		}
	}
	return s.checkTranslations()
}

func (s *Settings) checkTranslations() error {
	for i, t := range s.Translate {
		if !t.From.IsValid() || !t.To.IsValid() || t.From.Bits() != t.To.Bits() || !t.From.Addr().Is4() || !t.To.Addr().Is4() {
			return errors.Errorf("translate[%d] needs from and to as IPv4 networks of the same size", i)
		}
	}
	return nil
}

var weightsText = fmt.Sprintf("must be from 0 to %d each, and one of them above 0", maxWeight)

func badWeights(w document.Weights) bool {
	for _, x := range []float64{w.Tail, w.Away, w.Cost, w.Read} {
		if !(x >= 0 && x <= maxWeight) { // also what is no number
			return true
		}
	}
	return w == document.Weights{}
}

func outside(d, low, high time.Duration) bool { return d < low || d > high }

// Translations returns them as the peers' client takes them.
func (s *Settings) Translations() []peer.Translation {
	out := make([]peer.Translation, 0, len(s.Translate))
	for _, t := range s.Translate {
		out = append(out, peer.Translation{From: t.From, To: t.To})
	}
	return out
}

// YAML returns the settings as a file.
func (s *Settings) YAML() ([]byte, error) {
	out, err := yaml.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "settings.YAML")
	}
	return out, nil
}
