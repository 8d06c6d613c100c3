package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"vetchtrail"
)

// withPosition returns the text of a decoding error with the line and column of its cause. The YAML
// library reports the position of an unknown key or of a value of the wrong kind, but not that of
// a value whose text could not be parsed as its type.
func withPosition(text []byte, err error) string {
	formatted := yaml.FormatError(err, false, true)
	if len(formatted) > 0 && formatted[0] == '[' {
		return formatted
	}
	file, parseErr := parser.ParseBytes(text, 0)
	if parseErr != nil {
		return formatted
	}
	f := &valueFinder{message: err.Error()}
	for _, d := range file.Docs {
		ast.Walk(f, d)
	}
	if f.found == "" {
		return formatted
	}
	return f.found
}

// valueFinder visits the nodes of a YAML file and finds the first value whose parsing fails with
// the library's error message.
type valueFinder struct {
	message string // error message of the library
	found   string // the message with position and value; empty until found
}

// Visit implements ast.Visitor.
func (f *valueFinder) Visit(n ast.Node) ast.Visitor {
	s, ok := n.(ast.ScalarNode)
	if !ok || f.found != "" {
		return f
	}
	text := fmt.Sprint(s.GetValue())
	if err := parseError(n.GetPath(), text); err != nil && err.Error() == f.message {
		token := n.GetToken()
		f.found = fmt.Sprintf("[%d:%d] %q: %s", token.Position.Line, token.Position.Column, text, err)
	}
	return f
}

// parseError parses a text as the type of the setting at a path and returns the error, if any.
func parseError(path, text string) (err error) {
	if strings.HasSuffix(path, "."+text) {
		return nil // the node is a key, not a value
	}
	topLevel, _, _ := strings.Cut(strings.TrimPrefix(path, "$."), ".")
	switch name, _, _ := strings.Cut(topLevel, "["); name {
	case "listen", "platform", "seeds":
		_, err = netip.ParseAddrPort(text)
	case "translate":
		_, err = netip.ParsePrefix(text)
	case "timing":
		_, err = time.ParseDuration(text)
	case "switched_off":
		var m vetchtrail.Mechanism
		err = m.UnmarshalText([]byte(text))
	}
	return err
}
