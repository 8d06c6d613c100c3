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
	// askAgain is how long a list of hosts is good for.
	askAgain = 10 * time.Second
	// weights of the hosts in the list.
	weightNear  = 100
	weightOther = 1
	maxKeys     = 100
)

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"` // "not-run" or "unknown"
	Step    string `json:"step"`
	Reason  string `json:"reason"`
	Peer    string `json:"peer,omitempty"`
}

func (s *Server) bad(c fiber.Ctx, err error) error {
	return s.problem(c, vetchtrail.Outcome{
		Kind: vetchtrail.NotRun, Status: fiber.StatusBadRequest, Step: vetchtrail.StepParse,
		Reason: vetchtrail.ReasonBadRequest, Err: err,
	})
}

// problem answers with what is known of a request that was not answered.
func (s *Server) problem(c fiber.Ctx, o vetchtrail.Outcome) error {
	if !o.RetryAt.IsZero() {
		after := math.Ceil(time.Until(o.RetryAt).Seconds())
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(max(after, 1))))
	}
	if o.Status == 0 {
		o.Status = fiber.StatusBadGateway
	}
	return c.Status(o.Status).JSON(problemOf(o), "application/problem+json")
}

func problemOf(o vetchtrail.Outcome) Problem {
	return Problem{
		Type: "about:blank", Title: o.Kind.String() + ": " + string(o.Reason), Status: o.Status,
		Detail: o.Error(), Outcome: o.Kind.String(), Step: string(o.Step), Reason: string(o.Reason), Peer: o.Peer,
	}
}

// hostLine is a host in the list that callers get.
type hostLine struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Weight  int    `json:"weight"`
}

// hostList is the answer of GET /v1/hosts.
type hostList struct {
	Hosts    []hostLine `json:"hosts"`
	AskAgain time.Time  `json:"ask_again"`
	Key      string     `json:"key"` // for one request that may run at most once
}

// hosts tells a caller which hosts to use: those of this data centre first, in
// random order so that callers spread.
func (s *Server) hosts(c fiber.Ctx) error {
	now := time.Now()
	list := hostList{AskAgain: now.Add(askAgain), Key: s.cfg.Keeper.Issue(now).String()}
	for _, h := range s.cfg.Membership.Hosts(now) {
		if h.State == vetchtrail.HostReady {
			list.Hosts = append(list.Hosts, lineOf(h, weightNear))
		}
	}
	rand.Shuffle(len(list.Hosts), func(i, j int) { list.Hosts[i], list.Hosts[j] = list.Hosts[j], list.Hosts[i] })
	for _, h := range s.cfg.Membership.Elsewhere(now) {
		list.Hosts = append(list.Hosts, lineOf(h, weightOther))
	}
	return c.JSON(list)
}

func lineOf(h vetchtrail.Host, weight int) hostLine {
	return hostLine{Name: h.Name, Address: h.Callers.String(), Region: h.Region, Weight: weight}
}

// keyList is the answer of POST /v1/keys.
type keyList struct {
	Keys []string `json:"keys"`
}

// keys issues keys for requests that may run at most once.
func (s *Server) keys(c fiber.Ctx) error {
	n, err := strconv.Atoi(c.Query("count", "1"))
	if err != nil || n < 1 || n > maxKeys {
		return s.bad(c, fiber.NewError(fiber.StatusBadRequest, "count must be from 1 to "+strconv.Itoa(maxKeys)))
	}
	list := keyList{Keys: make([]string, 0, n)}
	for range n {
		list.Keys = append(list.Keys, s.cfg.Keeper.Issue(time.Now()).String())
	}
	return c.JSON(list)
}

// modelLine is a model in the list that callers get.
type modelLine struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelLine `json:"data"`
}

func (s *Server) models(c fiber.Ctx) error {
	list := modelList{Object: "list", Data: []modelLine{}}
	for _, v := range s.cfg.Rules().Services() {
		if v.Kind == vetchtrail.KindModel {
			list.Data = append(list.Data, modelLine{ID: v.Name, Object: "model"})
		}
	}
	return c.JSON(list)
}
