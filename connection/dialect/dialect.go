// Package dialect implements the project's own vetchtrail.Dialect: the header fields that
// callers, hosts and endpoints use unless a deployment has a dialect of its own. It only
// translates header fields and decides nothing.
package dialect

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"vetchtrail"
)

// Names of header fields.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderTimeout   = "Request-Timeout" // seconds
	// HeaderNotStarted marks a 503 by which an endpoint refused a request before starting it.
	// Status 429 (RFC 6585) needs no such mark.
	HeaderNotStarted = "X-Not-Started"
	headerLastEvent  = "Last-Event-Id"
	// HeaderRateLimit is an endpoint's rate limit in requests per second, for all hosts
	// together. It holds as long as the endpoint's responses have the field.
	HeaderRateLimit = "X-Rate-Limit"
	// HeaderLeaving is 1 in the responses of an endpoint that will stop soon and accepts no
	// new requests.
	HeaderLeaving = "X-Leaving"
	// headerRetryAfter is, in a 503, the number of seconds for which an endpoint accepts no
	// requests from the host.
	headerRetryAfter = "Retry-After"
	// HeaderWorkspace names the request's workspace to the endpoint. Callers may set it in
	// unrouted requests, to name a workspace that needs no key.
	HeaderWorkspace = "X-Workspace"
	// HeaderAuthorization has the workspace key as a bearer token.
	HeaderAuthorization = "Authorization"
	keyScheme           = "Bearer"
)

const (
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
	maxRequestIDBytes        = 128
	// maxTimeout is the longest timeout that a caller may set.
	maxTimeout = 10 * time.Minute
)

// Default is the project's own vetchtrail.Dialect.
type Default struct{}

// ParseRequest implements vetchtrail.Dialect. It generates an id for a request without one.
func (Default) ParseRequest(get vetchtrail.HeaderGetter, r *vetchtrail.Request, now time.Time) error {
	r.ID = get(HeaderRequestID)
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	if len(r.ID) > maxRequestIDBytes {
		return fmt.Errorf("%s is over %d bytes", HeaderRequestID, maxRequestIDBytes)
	}
	r.LastEventID = get(headerLastEvent)
	timeout, err := ParseTimeout(get(HeaderTimeout))
	if err == nil && timeout > 0 {
		r.Deadline = now.Add(timeout)
	}
	return err
}

// ParseTimeout parses a caller's timeout in seconds. It returns 0 if text is empty.
func ParseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n > 0) || n > maxTimeout.Seconds() {
		return 0, fmt.Errorf("%s is %q: it must be seconds above 0 and at most %g", HeaderTimeout, text, maxTimeout.Seconds())
	}
	return time.Duration(n * float64(time.Second)), nil
}

// ParseKey implements vetchtrail.Dialect. The key is a bearer token (RFC 6750).
func (Default) ParseKey(get vetchtrail.HeaderGetter) (string, error) {
	text := get(HeaderAuthorization)
	scheme, key, _ := strings.Cut(text, " ")
	if text == "" {
		return "", vetchtrail.ErrNoKey
	}
	if !strings.EqualFold(scheme, keyScheme) {
		return "", vetchtrail.ErrInvalidKey
	}
	return key, vetchtrail.CheckKey(key)
}

// IsReserved implements vetchtrail.Dialect.
func (Default) IsReserved(name string) bool {
	return name == HeaderRequestID || name == headerLastEvent || name == HeaderWorkspace
}

// SetRequestHeader implements vetchtrail.Dialect.
func (Default) SetRequestHeader(set func(name, value string), _ vetchtrail.Endpoint, r *vetchtrail.Request, _ time.Time) {
	set(HeaderRequestID, r.ID)
	if r.Workspace != "" {
		set(HeaderWorkspace, r.Workspace)
	}
	if r.LastEventID != "" {
		set(headerLastEvent, r.LastEventID)
	}
}

// ParseResponse implements vetchtrail.Dialect.
func (Default) ParseResponse(status int, get vetchtrail.HeaderGetter, _ *vetchtrail.Request) vetchtrail.ResponseHead {
	out := vetchtrail.ResponseHead{
		ColdStart: -1, Rate: vetchtrail.ParseRateLimit(get(HeaderRateLimit)),
		Availability: vetchtrail.ParseAvailability(get(HeaderLeaving), get(headerRetryAfter), status == statusServiceUnavailable),
	}
	if status == statusTooManyRequests || (status == statusServiceUnavailable && get(HeaderNotStarted) != "") {
		out.Kind = vetchtrail.ResponseRefused
	}
	return out
}

// knownFields contains the response header fields that some code reads, and those that
// contain nothing about the endpoint. Names are in the canonical form of fasthttp.
var knownFields = map[string]bool{
	HeaderRequestID: true, HeaderNotStarted: true, HeaderRateLimit: true, HeaderLeaving: true, headerRetryAfter: true, "Content-Type": true, "Cache-Control": true,
	"Content-Encoding": true,
}

// IsKnown implements vetchtrail.Dialect.
func (Default) IsKnown(name string) bool { return knownFields[name] }

// SetResponseHeader implements vetchtrail.Dialect.
func (Default) SetResponseHeader(set func(name, value string), r *vetchtrail.Request) {
	set(HeaderRequestID, r.ID)
}
