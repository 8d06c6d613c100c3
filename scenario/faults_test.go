package scenario

import (
	"context"
	"encoding/json"

	"github.com/rogpeppe/go-internal/testscript"

	"vetchtrail/standin/deployment"
)

// link implements "link cut|heal FROM TO": it cuts or restores the link from a region to another
// region or the platform.
func (s *script) link(_ *testscript.TestScript, args []string) error {
	return s.fleet.CutLink(context.Background(), args[1], args[2], args[0] == "cut")
}

// isolate implements "isolate cut|heal REGION [keep=platform]": it cuts or restores all links of a
// region, except the one to the platform with keep=platform.
func (s *script) isolate(_ *testscript.TestScript, args []string) error {
	o, ctx := parseOptions(args[2:]), context.Background()
	for _, r := range s.d.Spec.Regions {
		if r.Name == args[1] {
			continue
		}
		if err := s.fleet.CutLink(ctx, args[1], r.Name, args[0] == "cut"); err != nil {
			return err
		}
		if err := s.fleet.CutLink(ctx, r.Name, args[1], args[0] == "cut"); err != nil {
			return err
		}
	}
	if o["keep"] == "platform" {
		return nil
	}
	return s.fleet.CutLink(ctx, args[1], deployment.PlatformName, args[0] == "cut")
}

// fault implements "fault store|ENDPOINT JSON": it sets the faults of the store or an endpoint.
func (s *script) fault(_ *testscript.TestScript, args []string) error {
	addr := s.d.Store
	if args[0] != "store" {
		var err error
		if addr, err = s.fleet.EndpointAddr(args[0]); err != nil {
			return err
		}
	}
	return s.fleet.Client.Put(context.Background(), addr, "/faults", json.RawMessage(args[1]))
}

// leaving implements "leaving ENDPOINT…": it replaces the platform's list of endpoints by these
// endpoints, in the state leaving. The stand-in returns the new list only after its lag.
func (s *script) leaving(_ *testscript.TestScript, args []string) error {
	type entry struct {
		Endpoint string `json:"endpoint"`
		State    string `json:"state"`
	}
	entries := []entry{}
	for _, name := range args {
		entries = append(entries, entry{name, "leaving"})
	}
	return s.fleet.Client.Put(context.Background(), s.d.EndpointList, "/hosts", entries)
}
