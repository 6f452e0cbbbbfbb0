package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/flamingohold/flamingohold/internal/process/router/explanation"
)

// routeOptions holds the flags of the command route.
type routeOptions struct {
	address string
	query   explanation.Query
	asJSON  bool
}

func (p *program) routeCommand() command {
	flags := newCommand("route", "Ask a running router where a request would go now. Nothing is sent.", `
    flamingohold route --at 10.0.0.7:7215 --host desk.example --path /v1/draft --account bakery \
        --prompt-tokens 3000 --output-tokens 744
    flamingohold route --at 10.0.0.7:7215 --host desk.example --path /v1/draft --json
  The answer is the router's own view at that time. Reporters and other routers are not asked, so that they may decide
  otherwise. The exit code is 0 whatever the outcome, and 1 if the router does not answer.`)
	o := new(routeOptions)
	flags.String(&o.address, "a", "at", "metrics address of the router (or FLAMINGOHOLD_AT)")
	flags.String(&o.query.Host, "", "host", "host of the request")
	flags.String(&o.query.Path, "", "path", "path of the request")
	flags.String(&o.query.Account, "", "account", "name of the client account, not its key")
	flags.Int(&o.query.PromptTokens, "", "prompt-tokens", "size of the prompt, 0 for unknown")
	flags.Int(&o.query.OutputTokens, "", "output-tokens", "size of the output, 0 for unknown")
	flags.Bool(&o.asJSON, "j", "json", "print the answer as JSON")
	return command{flags, func() int { return p.route(o) }}
}

func (p *program) route(o *routeOptions) int {
	if address, ok := p.environment(environmentPrefix + "AT"); ok && o.address == "" {
		o.address = address
	}
	if o.address == "" {
		_, _ = fmt.Fprintln(p.stderr, "flamingohold: route needs --at")
		return exitUsage
	}
	if err := o.query.Validate(); err != nil {
		_, _ = fmt.Fprintln(p.stderr, "flamingohold:", err)
		return exitUsage
	}
	var e explanation.Explanation
	if err := query(context.Background(), o.address, "", explanation.Path+"?"+o.query.Parameters().Encode(), &e); err != nil {
		return p.fail(err)
	}
	if o.asJSON {
		encoder := json.NewEncoder(p.stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(e); err != nil {
			return p.fail(err)
		}
		return exitSuccess
	}
	if err := printExplanation(p.stdout, e); err != nil {
		return p.fail(err)
	}
	return exitSuccess
}

// printExplanation prints the explanation as text.
func printExplanation(w io.Writer, e explanation.Explanation) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format+"\n", values...) }
	line("outcome\t%s (%s)%s", e.Outcome, e.Reason, statusText(e.Status))
	line("time\t%s", e.Time.UTC().Format(timeLayout))
	line("table version\t%d", e.TableVersion)
	if e.Route != "" {
		line("route\t%s (%s)", e.Route, e.Kind)
		line("service\t%s%s", cmp.Or(e.Service, "-"), sharesText(e.Services))
		line("account\t%s", cmp.Or(e.Account, "-"))
		line("policy\t%s", policyText(e))
	}
	if e.Queue != nil {
		line("queue\t%d ahead, %d queued", e.Queue.Ahead, e.Queue.Queued)
	}
	if e.Reservation != nil {
		line("reservation\tup to %d engines are asked, headroom %s", e.Reservation.Engines, formatNumber(e.Reservation.Headroom))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if err := printEngines(w, e); err != nil {
		return err
	}
	return printExcluded(w, e)
}

func statusText(status int) string {
	if status == 0 {
		return ""
	}
	return fmt.Sprintf(", status %d", status)
}

func sharesText(services []explanation.Share) string {
	if len(services) == 0 {
		return ""
	}
	var names []string
	for _, s := range services {
		names = append(names, s.Service+" "+formatNumber(s.Weight))
	}
	return " (chosen by chance with weights " + strings.Join(names, ", ") + ")"
}

func policyText(e explanation.Explanation) string {
	if !e.PolicyEnabled || e.Priority == nil || e.Rank == nil {
		return "not enabled"
	}
	text := fmt.Sprintf("enabled, priority %d, rank %d", *e.Priority, *e.Rank)
	if e.SendBy == nil {
		text += ", cannot wait"
	} else {
		text += fmt.Sprintf(", can wait for %d ms until %s", e.SendBy.Sub(e.Time).Milliseconds(), e.SendBy.UTC().Format(timeLayout))
	}
	if e.PromptTokens > 0 {
		text += fmt.Sprintf(", prompt assumed to be of %d tokens", e.PromptTokens)
	}
	return text
}

// printEngines prints the upstreams that may get the request. A tie is marked with "=",
// an upstream that would be asked for room with "*".
func printEngines(w io.Writer, e explanation.Explanation) error {
	if len(e.Engines) == 0 {
		return nil
	}
	_, _ = fmt.Fprintln(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ENGINE\tDATA CENTRE\tSCORE\tLOAD\tPRESSURE\tREMOTE\tSUSPECT\tFAILURES\tCOLD\tPACE\tROOM\tAGE MS\tRUNNING\tWAITING\tMEMORY\tEVENT MS\tLIMIT/S")
	for _, n := range e.Engines {
		p := n.Parts
		_, _ = fmt.Fprintf(table, "%s%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%s\n", n.ID, marks(n), n.DataCentre, n.Score,
			p.Load, p.MemoryPressure, p.Remote, p.Suspect, p.Failures, p.Cold, p.Pace, yesNo(n.HasRoom), reportText(n))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if e.EnginesOmitted > 0 {
		_, _ = fmt.Fprintf(w, "%d more are left out\n", e.EnginesOmitted)
	}
	_, err := fmt.Fprintf(w, "= chance decides: within %s of the lowest score; * is asked for room\n", formatNumber(e.TieMargin))
	return err
}

func marks(n explanation.Engine) string {
	text := ""
	if n.IsTied {
		text += "="
	}
	if n.IsAsked {
		text += "*"
	}
	return text
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// reportText returns the columns of the report, "-" for what is unknown.
func reportText(n explanation.Engine) string {
	limit := "-"
	if n.StatedLimit != nil {
		limit = formatNumber(*n.StatedLimit)
	}
	if !n.Reported {
		return "-\t-\t-\t-\t-\t" + limit
	}
	eventTime := "-"
	if n.EventTime > 0 {
		eventTime = formatNumber(n.EventTime)
	}
	return fmt.Sprintf("%.0f\t%d\t%d\t%d/%d\t%s\t%s", n.ReportAge, n.Running, n.Waiting, n.MemoryUsed, n.MemoryTotal, eventTime, limit)
}

// printExcluded prints the upstreams that may not get the request.
func printExcluded(w io.Writer, e explanation.Explanation) error {
	if len(e.Excluded) == 0 {
		return nil
	}
	_, _ = fmt.Fprintln(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "EXCLUDED\tDATA CENTRE\tREASON\tTIME LEFT MS")
	for _, x := range e.Excluded {
		left := "-"
		if x.TimeLeft > 0 {
			left = fmt.Sprintf("%.0f", x.TimeLeft)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", x.ID, x.DataCentre, x.Reason, left)
	}
	if err := table.Flush(); err != nil || e.ExcludedOmitted == 0 {
		return err
	}
	_, err := fmt.Fprintf(w, "%d more are left out\n", e.ExcludedOmitted)
	return err
}
