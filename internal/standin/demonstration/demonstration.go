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

	"github.com/flamingohold/flamingohold/internal/standin/deployment"
	"github.com/flamingohold/flamingohold/internal/standin/gatewayclient"
	"github.com/flamingohold/flamingohold/internal/standin/plainservice"
	"github.com/flamingohold/flamingohold/internal/standin/spantree"
)

const (
	promptName = "prompt.txt"
	orderName  = "order.json"
	// answerTokens limits the completion to a few lines on the terminal.
	answerTokens = 24
	// spanTimeout limits the wait until the spans of a finished request are in
	// their files.
	spanTimeout      = 10 * time.Second
	spanPollInterval = 100 * time.Millisecond
	// minTraceProcesses counts the gateway and the sidecar.
	minTraceProcesses = 2
	// firstRequestTimeout limits the wait for the first accepted request, during
	// which gateways receive the instance list.
	firstRequestTimeout = 20 * time.Second
	firstRequestPause   = 200 * time.Millisecond
)

// Demonstration runs the demonstration on one deployment.
type Demonstration struct {
	deployment  *deployment.Deployment
	traceFolder string
	out         io.Writer
	client      *gatewayclient.Client
}

// New returns a demonstration that writes to out. The processes of the deployment
// write their span files to traceFolder.
func New(d *deployment.Deployment, traceFolder string, out io.Writer) *Demonstration {
	return &Demonstration{deployment: d, traceFolder: traceFolder, out: out, client: gatewayclient.New()}
}

// Run shows the streamed completion, the order and the trace. It returns an error
// if the completion is incomplete or the order was not executed exactly once.
func (d *Demonstration) Run(ctx context.Context) error {
	defer d.client.Close()
	traceID, err := d.showCompletion(ctx)
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

// target returns the gateway with the given index, modulo the number of gateways,
// with the key of the example's client account.
func (d *Demonstration) target(gateway int) gatewayclient.Target {
	spec := d.deployment.Spec()
	gateways := d.deployment.Gateways()
	return gatewayclient.Target{Gateway: gateways[gateway%len(gateways)], Key: spec.Keys()[spec.Account]}
}

// showCompletion streams the completion of the example's prompt and returns its
// trace ID.
func (d *Demonstration) showCompletion(ctx context.Context) (traceID string, err error) {
	spec := d.deployment.Spec()
	content, err := os.ReadFile(filepath.Join(spec.Folder(), promptName))
	if err != nil {
		return "", errors.Wrap(err, "read prompt")
	}
	prompt := gatewayclient.Prompt{Model: spec.Model, Text: string(content), MaxTokens: answerTokens}
	if err := d.awaitInstances(ctx, prompt); err != nil {
		return "", err
	}
	target := d.target(0)
	traceID, target.TraceParent = newTrace()
	d.printf("\nPrompt from %s to model %s through %s as %s:\n  %s\n", promptName, spec.Model, target.Gateway,
		spec.Account, strings.ReplaceAll(strings.TrimSpace(prompt.Text), "\n", "\n  "))
	d.printf("Completion tokens (prompt hash.generation hash.token number):\n ")
	answer, err := d.client.Stream(ctx, target, prompt, func(text string, _ time.Time) { d.printf("%s", text) })
	d.printf("\n")
	if err != nil {
		return "", err
	}
	d.printf("  received %d of %d tokens, [DONE] received: %t, last event ID %s\n",
		answer.Tokens, answer.UsageTokens, answer.Done, answer.LastEventID)
	return traceID, checkAnswer(answer)
}

// awaitInstances sends the prompt until the gateway accepts it, which it does once
// it has received the instance list.
func (d *Demonstration) awaitInstances(ctx context.Context, prompt gatewayclient.Prompt) error {
	ctx, cancel := context.WithTimeout(ctx, firstRequestTimeout)
	defer cancel()
	prompt.MaxTokens = 1
	for {
		answer, err := d.client.Stream(ctx, d.target(0), prompt, nil)
		if err == nil && answer.Status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(errors.CombineErrors(err, problemOf(answer)), "prompt was not accepted within %s", firstRequestTimeout)
		case <-time.After(firstRequestPause):
		}
	}
}

// problemOf returns the problem document of a refused or failed request, nil if
// there is none.
func problemOf(answer *gatewayclient.Answer) error {
	if answer == nil || answer.Problem == nil {
		return nil
	}
	return answer.Problem
}

// checkAnswer returns an error if the request was refused, the stream ended early,
// or tokens are missing or wrong.
func checkAnswer(a *gatewayclient.Answer) error {
	if err := problemOf(a); err != nil {
		return err
	}
	if !a.Done || a.Truncated() || a.Faults.Any() {
		return errors.Newf("completion is incomplete or has wrong tokens: %+v", *a)
	}
	return nil
}

// newTrace returns a new trace ID and a W3C traceparent header for it.
func newTrace() (traceID, traceParent string) {
	var raw [24]byte
	_, _ = rand.Read(raw[:])
	traceID = hex.EncodeToString(raw[:16])
	return traceID, "00-" + traceID + "-" + hex.EncodeToString(raw[16:]) + "-01"
}

// showOrder sends the example's order through two gateways with the same
// idempotency key.
func (d *Demonstration) showOrder(ctx context.Context) error {
	spec := d.deployment.Spec()
	body, err := os.ReadFile(filepath.Join(spec.Folder(), orderName))
	if err != nil {
		return errors.Wrap(err, "read order")
	}
	key, err := d.client.NewOrderKey(ctx, d.target(0), spec.OrderPath)
	if err != nil {
		return err
	}
	d.printf("\nOrder from %s to %s, executed at most once, with the idempotency key from the gateway\n  %s\n", orderName, spec.OrderPath, key)
	for gateway := range 2 {
		response, err := d.client.Call(ctx, d.target(gateway), http.MethodPost, spec.OrderPath, key, body)
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

// showExecutions reads from all instances of the plain service how often the order
// with the key was executed. It returns an error unless the total is 1.
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
		d.printf("  %s executed it %d times\n", i.Name, n)
	}
	if total != 1 {
		return errors.Newf("order was executed %d times instead of once", total)
	}
	d.printf("  sent twice, executed once\n")
	return nil
}

// executions returns how often the instance at the address executed requests with
// the key.
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

// showTrace waits until gateway and sidecar have written their spans, and prints
// them.
func (d *Demonstration) showTrace(ctx context.Context, traceID string) error {
	deadline := time.Now().Add(spanTimeout)
	for {
		tree, err := spantree.Read(d.traceFolder, traceID)
		if err != nil {
			return err
		}
		if tree.ProcessCount() >= minTraceProcesses {
			d.printf("\nTrace %s of the prompt (offset, duration, attributes):\n", traceID)
			tree.Print(d.out)
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Newf("trace has spans of only %d processes after %s", tree.ProcessCount(), spanTimeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(spanPollInterval):
		}
	}
}
