package main

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail/schema"
)

// capacityCommand shows by which figures a daemon admits requests while services are short of
// capacity.
type capacityCommand struct {
	Service string `arg:"" optional:"" help:"Show only this service."`
}

// Run prints tables of the services, of what other regions grant to single priorities, of the
// demand by priority and workspace, and of the planned returns.
func (c *capacityCommand) Run(g *globals) error {
	ctx, client, cleanup, err := g.dial()
	if err != nil {
		return err
	}
	defer cleanup()
	reply, err := client.Capacity(ctx, &schema.CapacityRequest{Service: c.Service})
	if err != nil {
		return err
	}
	if c.Service != "" && len(reply.GetServices()) == 0 {
		return errors.Errorf("the daemon's configuration has no service %s", c.Service)
	}
	return g.print(reply, func(w *tabwriter.Writer) { printCapacity(w, reply) })
}

// printCapacity prints the tables. Rates are in prompt tokens per second.
func printCapacity(w io.Writer, reply *schema.CapacityReply) {
	_, _ = fmt.Fprintf(w, "seen from %s; prompt tokens per second in its region\n", reply.GetHost())
	var services, grants, demands, returns []string
	for _, s := range reply.GetServices() {
		services = append(services, capacityRow(s))
		for _, p := range s.GetPriorityGrants() {
			grants = append(grants, fmt.Sprintf("%s\t%d\t%.0f", s.GetService(), p.GetPriority(), p.GetRate()))
		}
		demands = append(demands, demandRows(s)...)
		for _, r := range s.GetReturns() {
			returns = append(returns, fmt.Sprintf("%s\t%d\t%s\t%d", s.GetService(), r.GetPriority(), time.Duration(r.GetInMillis())*time.Millisecond, r.GetWork()))
		}
	}
	printTable(w, "SERVICE\tADMISSION\tSHORTAGE\tSUPPLY\tFACTOR\tGRANTED\tASKED\tADMITTED\tHOSTS\tOLDEST", services)
	printTable(w, "SERVICE\tPRIORITY\tGRANTED TO IT ALONE", grants)
	printTable(w, "SERVICE\tPRIORITY\tATTEMPT\tWORKSPACE\tASKED\tADMITTED\tSHARE", demands)
	printTable(w, "SERVICE\tPRIORITY\tRETURNS IN\tTOKENS", returns)
}

// printTable prints a table after an empty line. It prints nothing without rows.
func printTable(w io.Writer, header string, rows []string) {
	if len(rows) == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "\n%s\n%s\n", header, strings.Join(rows, "\n"))
}

// capacityRow returns the row of a service.
func capacityRow(s *schema.ServiceCapacity) string {
	if !s.GetMeasured() {
		return s.GetService() + "\tnot in force" + strings.Repeat("\t-", 8)
	}
	shortage, supply, admitted := "none", "unknown", 0.0
	if s.GetSupply() > 0 {
		supply = fmt.Sprintf("%.0f", s.GetSupply())
	}
	if s.GetShortage() {
		shortage = "since " + formatAge(s.GetSince())
	}
	for _, c := range s.GetClasses() {
		admitted += c.GetAdmitted()
	}
	state := "observed"
	if s.GetInForce() {
		state = "in force"
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%.2f\t%.0f\t%.0f\t%.0f\t%d\t%s", s.GetService(), state, shortage, supply, s.GetFactor(),
		s.GetGranted(), s.GetAsked(), admitted, s.GetHosts(), time.Duration(s.GetAge()).Round(time.Millisecond))
}

// demandRows returns the rows of a service's demand: for each priority and kind of attempt the sum
// over all workspaces, then its workspaces in the order of the reply.
func demandRows(s *schema.ServiceCapacity) []string {
	var out []string
	all := s.GetClasses()
	for len(all) > 0 {
		first, n := all[0], 0
		sum := &schema.ClassCapacity{Priority: first.GetPriority(), Returned: first.GetReturned()}
		var rows []string
		for n < len(all) && all[n].GetPriority() == first.GetPriority() && all[n].GetReturned() == first.GetReturned() {
			sum.Asked, sum.Admitted = sum.GetAsked()+all[n].GetAsked(), sum.GetAdmitted()+all[n].GetAdmitted()
			rows = append(rows, demandRow(s, all[n], cmp.Or(all[n].GetWorkspace(), "(none or several)")))
			n++
		}
		out = append(append(out, demandRow(s, sum, "(all)")), rows...)
		all = all[n:]
	}
	return out
}

// demandRow returns one row of a service's demand.
func demandRow(s *schema.ServiceCapacity, c *schema.ClassCapacity, workspace string) string {
	attempt, share := "first", "-"
	if c.GetReturned() {
		attempt = "return"
	}
	if c.GetAsked() > 0 {
		share = fmt.Sprintf("%.2f", c.GetAdmitted()/c.GetAsked())
	}
	return fmt.Sprintf("%s\t%d\t%s\t%s\t%.0f\t%.0f\t%s", s.GetService(), c.GetPriority(), attempt, workspace, c.GetAsked(), c.GetAdmitted(), share)
}
