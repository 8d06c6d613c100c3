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

// located words an error of decoding with the line at fault. The library knows
// the line of an unknown key or a wrong type, but not that of a text that its
// type refused.
func located(text []byte, err error) string {
	formatted := yaml.FormatError(err, false, true)
	if len(formatted) > 0 && formatted[0] == '[' {
		return formatted
	}
	file, parseErr := parser.ParseBytes(text, 0)
	if parseErr != nil {
		return formatted
	}
	f := &finder{message: err.Error()}
	for _, d := range file.Docs {
		ast.Walk(f, d)
	}
	if f.found == "" {
		return formatted
	}
	return f.found
}

// finder finds the text that gives the same error as the library had.
type finder struct {
	message string
	found   string
}

// Visit implements ast.Visitor.
func (f *finder) Visit(n ast.Node) ast.Visitor {
	s, ok := n.(ast.ScalarNode)
	if !ok || f.found != "" {
		return f
	}
	text := fmt.Sprint(s.GetValue())
	if err := refusal(n.GetPath(), text); err != nil && err.Error() == f.message {
		token := n.GetToken()
		f.found = fmt.Sprintf("[%d:%d] %q: %s", token.Position.Line, token.Position.Column, text, err)
	}
	return f
}

// refusal is the error of the type at a path on a text.
func refusal(path, text string) (err error) {
	if strings.HasSuffix(path, "."+text) {
		return nil // a key
	}
	section, _, _ := strings.Cut(strings.TrimPrefix(path, "$."), ".")
	switch name, _, _ := strings.Cut(section, "["); name {
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
