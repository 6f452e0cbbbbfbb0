package main

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"strings"

	"github.com/flamingohold/flamingohold/internal/process/decisions"
)

// timeLayout has milliseconds, in which the order of decisions shows.
const timeLayout = "2006-01-02T15:04:05.000Z"

// taken is a decision with the process that took it.
type taken struct {
	decisions.Record
	process string
}

func (p *program) explainCommand() command {
	flags := newCommand("explain", "Show what the given processes decided about a request, in the order of time.", `
    flamingohold explain 8f14e45f --at 10.0.0.7:9300 --at 10.0.0.9:9300
  Each process keeps its latest decisions only. Times are by each process's own clock.
  The exit code is 1 if no decision is found or if a process does not answer.`)
	o := new(askOptions)
	o.add(flags, "admin address of a process")
	requestID := ""
	flags.AddPositionalValue(&requestID, "REQUEST_ID", 1, true, "request identifier, as in the X-Request-Id header")
	return command{flags, func() int { return p.explain(requestID, o) }}
}

func (p *program) explain(requestID string, o *askOptions) int {
	if !o.complete(p.environment) {
		_, _ = fmt.Fprintln(p.stderr, "flamingohold: explain needs --at")
		return exitUsage
	}
	secret, err := o.secret()
	if err != nil {
		return p.fail(err)
	}
	replies := askAll[decisions.Answer](context.Background(), o.addresses, secret, decisions.Path+url.PathEscape(requestID))
	code := exitSuccess
	for _, r := range replies {
		if r.err != nil {
			code = p.fail(r.err)
		}
	}
	all := merge(replies)
	if len(all) == 0 {
		_, _ = fmt.Fprintf(p.stderr, "flamingohold: no process has a decision about %q\n", requestID)
		return exitFailure
	}
	for _, t := range all {
		if _, err := fmt.Fprintln(p.stdout, describe(t)); err != nil {
			return p.fail(err)
		}
	}
	return code
}

// merge returns all decisions in the order of time.
func merge(replies []reply[decisions.Answer]) []taken {
	var all []taken
	for _, r := range replies {
		for _, d := range r.value.Decisions {
			all = append(all, taken{d, r.value.Process})
		}
	}
	slices.SortStableFunc(all, func(a, b taken) int { return a.Time.Compare(b.Time) })
	return all
}

// describe returns the decision in one line.
func describe(t taken) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s: %s", t.Time.UTC().Format(timeLayout), t.process, t.Step, t.Choice)
	if t.Peer != "" {
		fmt.Fprintf(&b, " at %s", t.Peer)
	}
	if t.Reason != "" {
		fmt.Fprintf(&b, " because %s", t.Reason)
	}
	for i, o := range t.Observations {
		separator := ", "
		if i == 0 {
			separator = "; observed "
		}
		fmt.Fprintf(&b, "%s%s=%s", separator, strings.TrimPrefix(o.Subject+"."+o.Name, "."), number(o.Value))
	}
	if t.Account != "" {
		fmt.Fprintf(&b, " (account %s)", t.Account)
	}
	return b.String()
}

// number returns the value with at most three decimals.
func number(value float64) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", value), "0"), ".")
}
