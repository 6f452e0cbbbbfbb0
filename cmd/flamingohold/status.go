package main

import (
	"cmp"
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/flamingohold/flamingohold/internal/process/load"
)

const (
	statePath = "/v1/state"
	// shortHashDigits is the number of hexadecimal digits of a hash in the table.
	shortHashDigits = 12
)

// state is the response of a gateway or sidecar at statePath. Gateways set Name,
// sidecars set Instance.
type state struct {
	load.Report
	Name string `json:"name"`
}

func (p *program) statusCommand() command {
	flags := newCommand("status", "Show the state of the given processes or of the whole fleet as a table.", `
    flamingohold status --fleet /etc/flamingohold/gateway.json
    flamingohold status --peer-secret-file secret --at 10.0.0.7:9200 --at 10.0.0.8:9200
    FLAMINGOHOLD_AT=10.0.0.7:9200,10.0.0.8:9200 flamingohold status -s secret
  The exit code is 1 if a process does not respond or if the processes use different configurations.`)
	o := new(queryOptions)
	o.add(flags, "peer address of a process")
	fleet := ""
	flags.String(&fleet, "f", "fleet", "settings file of a gateway; shows the processes in its gateway peers and instance list")
	return command{flags, func() int { return p.status(o, fleet) }}
}

func (p *program) status(o *queryOptions, fleet string) int {
	code := exitSuccess
	if fleet != "" {
		// The gateways are shown even if the instance list does not respond.
		if err := o.addFleet(context.Background(), fleet); err != nil {
			code = p.fail(err)
		}
	}
	if !o.complete(p.environment) {
		_, _ = fmt.Fprintln(p.stderr, "flamingohold: status needs --at or --fleet")
		return exitUsage
	}
	secret, err := o.secret()
	if err != nil {
		return p.fail(err)
	}
	replies := queryAll[state](context.Background(), o.addresses, secret, statePath)
	if err := p.printStates(replies); err != nil {
		return p.fail(err)
	}
	return max(code, p.reportFailures(replies))
}

func (p *program) printStates(replies []reply[state]) error {
	table := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ADDRESS\tNAME\tDATA CENTRE\tPHASE\tRUNNING\tQUEUED\tLIMIT\tSTEP MS\tVERSION\tHASH")
	for _, r := range replies {
		if r.err != nil {
			_, _ = fmt.Fprintf(table, "%s\t-\t-\tno answer\t-\t-\t-\t-\t-\t-\n", r.address)
			continue
		}
		s := r.value
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.1f\t%d\t%.*s\n", r.address, cmp.Or(s.Instance, s.Name, "-"),
			cmp.Or(s.DataCentre, "-"), cmp.Or(s.Phase, "-"), s.Running, s.Queued, s.Limit, s.StepMillis,
			s.ConfigurationVersion, shortHashDigits, cmp.Or(s.ConfigurationHash, "-"))
	}
	return table.Flush()
}

// reportFailures prints an error for each process that did not respond and for
// differing configurations, and returns the exit code.
func (p *program) reportFailures(replies []reply[state]) int {
	hashes := make(map[string]bool)
	code := exitSuccess
	for _, r := range replies {
		if r.err != nil {
			code = p.fail(r.err)
			continue
		}
		hashes[r.value.ConfigurationHash] = true
	}
	if len(hashes) > 1 {
		_, _ = fmt.Fprintf(p.stderr, "flamingohold: %d different configurations are in force\n", len(hashes))
		code = exitFailure
	}
	return code
}
