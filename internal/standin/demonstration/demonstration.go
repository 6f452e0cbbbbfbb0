package demonstration

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/standin/caller"
	"github.com/flamingohold/flamingohold/internal/standin/deployment"
	"github.com/flamingohold/flamingohold/internal/standin/plainservice"
	"github.com/flamingohold/flamingohold/internal/standin/spantree"
)

const (
	promptName = "prompt.txt"
	orderName  = "order.json"
	// answerTokens keeps the shown answer short.
	answerTokens = 24
	// spanWait is how long the spans of a finished request may take to reach
	// their files.
	spanWait     = 10 * time.Second
	spanPoll     = 100 * time.Millisecond
	minProcesses = 2
	// firstTryTimeout bounds the wait for the first accepted request, in which
	// gateways learn of the instances.
	firstTryTimeout = 20 * time.Second
	firstTryPoll    = 200 * time.Millisecond
)

// Demonstration shows one deployment.
type Demonstration struct {
	deployment *deployment.Deployment
	traces     string
	out        io.Writer
	caller     *caller.Caller
}

// New returns a demonstration that writes to out. Traces is the folder of the
// span files.
func New(d *deployment.Deployment, traces string, out io.Writer) *Demonstration {
	return &Demonstration{deployment: d, traces: traces, out: out, caller: caller.New()}
}

// Run shows everything. It returns an error if an answer is not complete or an
// order did not run exactly once.
func (d *Demonstration) Run(ctx context.Context) error {
	defer d.caller.Close()
	traceID, err := d.showAnswer(ctx)
	if err != nil {
		return errors.Wrap(err, "streamed answer")
	}
	if err := d.showOrder(ctx); err != nil {
		return errors.Wrap(err, "order")
	}
	return errors.Wrap(d.showTrace(ctx, traceID), "trace")
}

func (d *Demonstration) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.out, format, arguments...)
}

// target returns the gateway with the number under the example's account.
func (d *Demonstration) target(gateway int) caller.Target {
	spec := d.deployment.Spec()
	gateways := d.deployment.Gateways()
	return caller.Target{Gateway: gateways[gateway%len(gateways)], Key: spec.Keys()[spec.Account]}
}

func (d *Demonstration) showAnswer(ctx context.Context) (traceID string, err error) {
	spec := d.deployment.Spec()
	content, err := os.ReadFile(filepath.Join(spec.Folder(), promptName))
	if err != nil {
		return "", errors.Wrap(err, "read prompt")
	}
	prompt := caller.Prompt{Model: spec.Model, Text: string(content), MaxTokens: answerTokens}
	if err := d.awaitInstances(ctx, prompt); err != nil {
		return "", err
	}
	target := d.target(0)
	traceID, target.TraceParent = newTrace()
	d.printf("\nPrompt from %s to model %s through %s as %s:\n  %s\n", promptName, spec.Model, target.Gateway,
		spec.Account, strings.ReplaceAll(strings.TrimSpace(prompt.Text), "\n", "\n  "))
	d.printf("Answer, token by token (prompt tag.generation tag.number):\n ")
	answer, err := d.caller.Stream(ctx, target, prompt, func(text string, _ time.Time) { d.printf("%s", text) })
	d.printf("\n")
	if err != nil {
		return "", err
	}
	d.printf("  %d of %d tokens in order, end marker: %t, last event id %s\n",
		answer.Tokens, answer.Declared, answer.Done, answer.LastEventID)
	return traceID, checkAnswer(answer)
}

// awaitInstances sends the prompt until a gateway can place it.
func (d *Demonstration) awaitInstances(ctx context.Context, prompt caller.Prompt) error {
	ctx, cancel := context.WithTimeout(ctx, firstTryTimeout)
	defer cancel()
	prompt.MaxTokens = 1
	for {
		answer, err := d.caller.Stream(ctx, d.target(0), prompt, nil)
		if err == nil && answer.Status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(errors.CombineErrors(err, problemOf(answer)), "no prompt was accepted in %s", firstTryTimeout)
		case <-time.After(firstTryPoll):
		}
	}
}

func problemOf(answer *caller.Answer) error {
	if answer == nil || answer.Problem == nil {
		return nil
	}
	return answer.Problem
}

func checkAnswer(a *caller.Answer) error {
	if err := problemOf(a); err != nil {
		return err
	}
	if !a.Done || a.Truncated() || a.Faults.Any() {
		return errors.Newf("answer is damaged: %+v", *a)
	}
	return nil
}

// newTrace returns a new trace identifier and its W3C traceparent.
func newTrace() (traceID, traceParent string) {
	var raw [24]byte
	_, _ = rand.Read(raw[:])
	traceID = hex.EncodeToString(raw[:16])
	return traceID, "00-" + traceID + "-" + hex.EncodeToString(raw[16:]) + "-01"
}

func (d *Demonstration) showOrder(ctx context.Context) error {
	spec := d.deployment.Spec()
	body, err := os.ReadFile(filepath.Join(spec.Folder(), orderName))
	if err != nil {
		return errors.Wrap(err, "read order")
	}
	key, err := d.caller.MintKey(ctx, d.target(0), spec.OrderPath)
	if err != nil {
		return err
	}
	d.printf("\nOrder from %s to %s, which may run at most once, with the minted key\n  %s\n", orderName, spec.OrderPath, key)
	for gateway := range 2 {
		response, err := d.caller.Call(ctx, d.target(gateway), http.MethodPost, spec.OrderPath, key, body)
		if err != nil {
			return err
		}
		d.printf("  through %s: status %d %s\n", d.target(gateway).Gateway, response.Status,
			strings.TrimSpace(string(response.Body)))
		if response.Problem != nil {
			return *response.Problem
		}
	}
	return d.showExecutions(ctx, key)
}

// showExecutions asks all plain services how often the key ran.
func (d *Demonstration) showExecutions(ctx context.Context, key string) error {
	total := 0
	for _, i := range d.deployment.Instances() {
		if i.Service != d.deployment.Spec().PlainService {
			continue
		}
		n, err := executions(ctx, i.UpstreamAddress, key)
		if err != nil {
			return err
		}
		total += n
		d.printf("  %s ran it %d times\n", i.Name, n)
	}
	if total != 1 {
		return errors.Newf("the order ran %d times instead of once", total)
	}
	d.printf("  sent twice, run once\n")
	return nil
}

func executions(ctx context.Context, address, key string) (int, error) {
	counts, err := plainservice.ReadCounts(ctx, address)
	n := 0
	for _, c := range counts {
		if c.Key == key {
			n += c.Executions
		}
	}
	return n, err
}

// showTrace waits until gateway and sidecar have written their spans.
func (d *Demonstration) showTrace(ctx context.Context, traceID string) error {
	deadline := time.Now().Add(spanWait)
	for {
		tree, err := spantree.Read(d.traces, traceID)
		if err != nil {
			return err
		}
		if tree.Processes() >= minProcesses {
			d.printf("\nTrace %s of the prompt (offset, duration):\n", traceID)
			tree.Print(d.out)
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Newf("spans of %d processes in %s", tree.Processes(), spanWait)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(spanPoll):
		}
	}
}
