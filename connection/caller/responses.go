package caller

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"vetchtrail"
)

const (
	// hostListTTL is how long a caller may use a list of hosts before fetching it again.
	hostListTTL = 10 * time.Second
	// Weights of hosts in the list: of those in this data centre, and of those in others.
	weightLocal       = 100
	weightRemote      = 1
	maxKeysPerRequest = 100
)

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"` // not-run or unknown
	Step    string `json:"step"`
	Reason  string `json:"reason"`
	Peer    string `json:"peer,omitempty"`
}

// refuseBadRequest responds with status 400 and err as the detail.
func (s *Server) refuseBadRequest(c fiber.Ctx, err error) error {
	return s.writeProblem(c, vetchtrail.Outcome{
		Kind: vetchtrail.OutcomeNotRun, Status: fiber.StatusBadRequest, Step: vetchtrail.StepParse,
		Reason: vetchtrail.ReasonBadRequest, Err: err,
	})
}

// writeProblem responds with a problem document to an unrouted request that has no response
// from an endpoint. Its Retry-After is in whole seconds.
func (s *Server) writeProblem(c fiber.Ctx, o vetchtrail.Outcome) error {
	if !o.RetryAt.IsZero() {
		after := math.Ceil(time.Until(o.RetryAt).Seconds())
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(max(after, 1))))
	}
	if o.Status == 0 {
		o.Status = fiber.StatusBadGateway
	}
	if s.leaving() {
		c.Set(fiber.HeaderConnection, "close")
	}
	return c.Status(o.Status).JSON(newProblem(o), "application/problem+json")
}

// newProblem describes an outcome as a problem document.
func newProblem(o vetchtrail.Outcome) Problem {
	return Problem{
		Type: "about:blank", Title: o.Kind.String() + ": " + string(o.Reason), Status: o.Status,
		Detail: o.Error(), Outcome: o.Kind.String(), Step: string(o.Step), Reason: string(o.Reason), Peer: o.Peer,
	}
}

// hostEntry is one host in the response to GET /v1/hosts.
type hostEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Weight  int    `json:"weight"`
}

// hostsResponse is the response to GET /v1/hosts.
type hostsResponse struct {
	Hosts     []hostEntry `json:"hosts"`
	RefreshAt time.Time   `json:"ask_again"`
	Key       string      `json:"key"` // idempotency key for one request that may run at most once
}

// handleHosts serves GET /v1/hosts: the hosts that a caller may use. Those of this data
// centre come first, shuffled so that callers spread over them.
func (s *Server) handleHosts(c fiber.Ctx) error {
	now := time.Now()
	list := hostsResponse{RefreshAt: now.Add(hostListTTL), Key: s.cfg.IssuedKeys.Issue(now).String()}
	for _, h := range s.cfg.Membership.LocalHosts(now) {
		if h.State == vetchtrail.HostReady {
			list.Hosts = append(list.Hosts, newHostEntry(h, weightLocal))
		}
	}
	rand.Shuffle(len(list.Hosts), func(i, j int) { list.Hosts[i], list.Hosts[j] = list.Hosts[j], list.Hosts[i] })
	for _, h := range s.cfg.Membership.ReadyRemoteHosts(now) {
		list.Hosts = append(list.Hosts, newHostEntry(h, weightRemote))
	}
	return c.JSON(list)
}

func newHostEntry(h vetchtrail.Host, weight int) hostEntry {
	return hostEntry{Name: h.Name, Address: h.CallerAddr.String(), Region: h.Region, Weight: weight}
}

// keysResponse is the response to POST /v1/keys.
type keysResponse struct {
	Keys []string `json:"keys"`
}

// handleKeys serves POST /v1/keys: it issues idempotency keys for requests that may run at
// most once.
func (s *Server) handleKeys(c fiber.Ctx) error {
	n, err := strconv.Atoi(c.Query("count", "1"))
	if err != nil || n < 1 || n > maxKeysPerRequest {
		return s.refuseBadRequest(c, fiber.NewError(fiber.StatusBadRequest, "count must be from 1 to "+strconv.Itoa(maxKeysPerRequest)))
	}
	list := keysResponse{Keys: make([]string, 0, n)}
	for range n {
		list.Keys = append(list.Keys, s.cfg.IssuedKeys.Issue(time.Now()).String())
	}
	return c.JSON(list)
}

// modelEntry is one model in the response to GET /v1/models.
type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// modelsResponse is the response to GET /v1/models.
type modelsResponse struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// handleModels serves GET /v1/models: the services of kind model.
func (s *Server) handleModels(c fiber.Ctx) error {
	list := modelsResponse{Object: "list", Data: []modelEntry{}}
	for _, v := range s.cfg.Rules().Services() {
		if v.Kind == vetchtrail.ServiceModel {
			list.Data = append(list.Data, modelEntry{ID: v.Name, Object: "model"})
		}
	}
	return c.JSON(list)
}
