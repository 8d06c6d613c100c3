// Package dialect holds the header fields by which callers and endpoints of
// the project's own deployments speak of routed requests.
package dialect

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"vetchtrail"
)

// Header fields.
const (
	HeaderID      = "X-Request-Id"
	HeaderTimeout = "Request-Timeout" // seconds
	// HeaderNotStarted marks a 503 by which an endpoint says that it refused a
	// request before starting it. Status 429 says so by itself (RFC 6585).
	HeaderNotStarted = "X-Not-Started"
	headerLastEvent  = "Last-Event-Id"
	// HeaderRate is the requests a second that an endpoint takes from all hosts together, for as
	// long as its answers say so.
	HeaderRate = "X-Rate-Limit"
	// HeaderLeaving is 1 in the answers of an endpoint that ends soon and wants nothing new.
	HeaderLeaving = "X-Leaving"
	// headerRetryAfter is, in a 503, the seconds for which an endpoint wants nothing from the host.
	headerRetryAfter = "Retry-After"
	// HeaderWorkspace names the workspace to endpoints. Callers may name one that has no
	// keys, outside of routes.
	HeaderWorkspace = "X-Workspace"
	// HeaderAuthorization holds a caller's key.
	HeaderAuthorization = "Authorization"
	keyScheme           = "Bearer"
)

const (
	statusTooMany     = 429
	statusUnavailable = 503
	maxID             = 128 // bytes
	// longestRequest bounds the time that a caller may ask for.
	longestRequest = 10 * time.Minute
)

// Plain is the project's own vetchtrail.Dialect.
type Plain struct{}

// Parse implements vetchtrail.Dialect. A request without an id is given one.
func (Plain) Parse(get vetchtrail.Fields, r *vetchtrail.Request, now time.Time) error {
	r.ID = get(HeaderID)
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	if len(r.ID) > maxID {
		return fmt.Errorf("%s is over %d bytes", HeaderID, maxID)
	}
	r.LastEvent = get(headerLastEvent)
	within, err := ParseTimeout(get(HeaderTimeout))
	if err == nil && within > 0 {
		r.Deadline = now.Add(within)
	}
	return err
}

// ParseTimeout reads a caller's timeout; 0: it sets none.
func ParseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n > 0) || n > longestRequest.Seconds() {
		return 0, fmt.Errorf("%s is %q: it must be seconds above 0 and at most %g", HeaderTimeout, text, longestRequest.Seconds())
	}
	return time.Duration(n * float64(time.Second)), nil
}

// Key implements vetchtrail.Dialect: the token of RFC 6750.
func (Plain) Key(get vetchtrail.Fields) (string, error) {
	text := get(HeaderAuthorization)
	scheme, key, _ := strings.Cut(text, " ")
	if text == "" {
		return "", vetchtrail.ErrNoKey
	}
	if !strings.EqualFold(scheme, keyScheme) {
		return "", vetchtrail.ErrOddKey
	}
	return key, vetchtrail.CheckKey(key)
}

// Own implements vetchtrail.Dialect.
func (Plain) Own(name string) bool {
	return name == HeaderID || name == headerLastEvent || name == HeaderWorkspace
}

// Tell implements vetchtrail.Dialect.
func (Plain) Tell(set func(name, value string), _ vetchtrail.Endpoint, r *vetchtrail.Request, _ time.Time) {
	set(HeaderID, r.ID)
	if r.Workspace != "" {
		set(HeaderWorkspace, r.Workspace)
	}
	if r.LastEvent != "" {
		set(headerLastEvent, r.LastEvent)
	}
}

// Read implements vetchtrail.Dialect.
func (Plain) Read(status int, get vetchtrail.Fields, _ *vetchtrail.Request) vetchtrail.Reading {
	out := vetchtrail.Reading{
		Cold: -1, Rate: vetchtrail.ReadRate(get(HeaderRate)),
		Notice: vetchtrail.ReadNotice(get(HeaderLeaving), get(headerRetryAfter), status == statusUnavailable),
	}
	if status == statusTooMany || (status == statusUnavailable && get(HeaderNotStarted) != "") {
		out.Kind = vetchtrail.ReadingRefused
	}
	return out
}

// told are the fields of answers that are read here or elsewhere, or say nothing of the endpoint. Its keys are as
// fasthttp writes names.
var told = map[string]bool{
	HeaderID: true, HeaderNotStarted: true, HeaderRate: true, HeaderLeaving: true, headerRetryAfter: true, "Content-Type": true, "Cache-Control": true,
	"Content-Encoding": true,
}

// Knows implements vetchtrail.Dialect.
func (Plain) Knows(name string) bool { return told[name] }

// Sign implements vetchtrail.Dialect.
func (Plain) Sign(set func(name, value string), r *vetchtrail.Request) { set(HeaderID, r.ID) }
