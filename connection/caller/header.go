package caller

import (
	"iter"
	"slices"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"vetchtrail"
	"vetchtrail/connection/endpoint"
)

// requestTarget returns the host name of a request, and its path and query as they arrived. A target in
// absolute form names the host itself (RFC 9112, 3.2.2).
func requestTarget(h *fasthttp.RequestHeader) (host, target string) {
	field, target := h.Host(), string(h.RequestURI())
	if strings.HasPrefix(target, "/") {
		return hostName(field), target
	}
	_, rest, absolute := strings.Cut(target, "://")
	if !absolute {
		return hostName(field), target
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	authority, target := rest[:end], rest[end:]
	if !strings.HasPrefix(target, "/") {
		target = "/" + target
	}
	return hostName([]byte(authority)), target
}

// endToEndFields returns the header fields of a request that concern more than its connection, without
// those that omit reports. It reads the header as it arrived: the HTTP library's own fields are
// without repeated ones and with cookies written anew.
func endToEndFields(c fiber.Ctx, omit func(name string) bool) []vetchtrail.HeaderField {
	header := string(c.Request().Header.RawHeaders())
	fields := make([]vetchtrail.HeaderField, 0, strings.Count(header, "\n"))
	var connection []string // options of the connection, which name further fields
	for name, value := range headerLines(header) {
		if name == fiber.HeaderConnection {
			connection = append(connection, value)
		}
		if !endpoint.HopByHop(name) && !omit(name) {
			fields = append(fields, vetchtrail.HeaderField{Name: name, Value: value})
		}
	}
	if len(connection) == 0 {
		return fields
	}
	return slices.DeleteFunc(fields, func(f vetchtrail.HeaderField) bool {
		return slices.ContainsFunc(connection, func(list string) bool { return endpoint.ListsOption(list, f.Name) })
	})
}

// headerLines returns the fields of a header that the HTTP library has accepted, with their names in
// canonical form.
func headerLines(header string) iter.Seq2[string, string] {
	return func(yield func(name, value string) bool) {
		for header != "" {
			var line string
			line, header = cutField(header)
			name, value, ok := strings.Cut(line, ":")
			if ok && !yield(canonicalName(name), strings.Trim(value, " \t")) {
				return
			}
		}
	}
}

// cutField cuts the first field from a header. Lines that continue it are joined to it by a space
// (RFC 9112, 5.2).
func cutField(header string) (field, rest string) {
	field, rest = cutLine(header)
	for rest != "" && (rest[0] == ' ' || rest[0] == '\t') {
		var more string
		more, rest = cutLine(rest)
		field = strings.TrimRight(field, " \t") + " " + strings.TrimLeft(more, " \t")
	}
	return field, rest
}

func cutLine(s string) (line, rest string) {
	line, rest, _ = strings.Cut(s, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

// canonicalName returns the name of a field as the HTTP library writes it, such as Content-Type.
func canonicalName(name string) string {
	for i := range len(name) {
		first := i == 0 || name[i-1] == '-'
		if (first && 'a' <= name[i] && name[i] <= 'z') || (!first && 'A' <= name[i] && name[i] <= 'Z') {
			return string(fasthttp.AppendNormalizedHeaderKey(nil, name))
		}
	}
	return name
}
