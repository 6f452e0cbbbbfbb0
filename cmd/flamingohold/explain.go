package main

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"strings"

	"github.com/flamingohold/flamingohold/internal/process/decisions"
)

// timeLayout has milliseconds, so that the order of decisions is visible.
const timeLayout = "2006-01-02T15:04:05.000Z"

// processDecision is a decision and the name of the process that made it.
type processDecision struct {
	decisions.Record
	process string
}

func (p *program) explainCommand() command {
	flags := newCommand("explain", "Show the decisions of the given processes about a request, sorted by time.", `
    flamingohold explain 8f14e45f --at 10.0.0.7:9300 --at 10.0.0.9:9300
  Each process keeps only its most recent decisions. Times are from the clock of each process.
  The exit code is 1 if no decision is found or if a process does not respond.`)
	o := new(queryOptions)
	o.add(flags, "admin address of a process")
	requestID := ""
	flags.AddPositionalValue(&requestID, "REQUEST_ID", 1, true, "request identifier, as in the X-Request-Id header")
	return command{flags, func() int { return p.explain(requestID, o) }}
}

func (p *program) explain(requestID string, o *queryOptions) int {
	if !o.complete(p.environment) {
		_, _ = fmt.Fprintln(p.stderr, "flamingohold: explain needs --at")
		return exitUsage
	}
	secret, err := o.secret()
	if err != nil {
		return p.fail(err)
	}
	replies := queryAll[decisions.Response](context.Background(), o.addresses, secret, decisions.Path+url.PathEscape(requestID))
	code := exitSuccess
	for _, r := range replies {
		if r.err != nil {
			code = p.fail(r.err)
		}
	}
	all := mergeDecisions(replies)
	if len(all) == 0 {
		_, _ = fmt.Fprintf(p.stderr, "flamingohold: no process has a decision about %q\n", requestID)
		return exitFailure
	}
	for _, d := range all {
		if _, err := fmt.Fprintln(p.stdout, formatDecision(d)); err != nil {
			return p.fail(err)
		}
	}
	return code
}

// mergeDecisions returns all decisions, sorted by time.
func mergeDecisions(replies []reply[decisions.Response]) []processDecision {
	var all []processDecision
	for _, r := range replies {
		for _, d := range r.value.Decisions {
			all = append(all, processDecision{d, r.value.Process})
		}
	}
	slices.SortStableFunc(all, func(a, b processDecision) int { return a.Time.Compare(b.Time) })
	return all
}

// formatDecision returns the decision as one line of text.
func formatDecision(d processDecision) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s: %s", d.Time.UTC().Format(timeLayout), d.process, d.Step, d.Choice)
	if d.Peer != "" {
		fmt.Fprintf(&b, " at %s", d.Peer)
	}
	if d.Reason != "" {
		fmt.Fprintf(&b, " because %s", d.Reason)
	}
	for i, o := range d.Observations {
		separator := ", "
		if i == 0 {
			separator = "; observed "
		}
		fmt.Fprintf(&b, "%s%s=%s", separator, strings.TrimPrefix(o.Subject+"."+o.Name, "."), formatNumber(o.Value))
	}
	if d.Account != "" {
		fmt.Fprintf(&b, " (account %s)", d.Account)
	}
	return b.String()
}

// formatNumber formats the value with at most three decimal places.
func formatNumber(value float64) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", value), "0"), ".")
}
