package scenarios_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	conditionTimeout = 60 * time.Second
	// noNewWorkTimeout is the time limit of the guarantees G3 and G7 ("a few
	// seconds").
	noNewWorkTimeout = 5 * time.Second
	idleTimeout      = 15 * time.Second
	// inForceTimeout is the target for the time from the publication of a
	// configuration version until it is in force.
	inForceTimeout = 14 * time.Second
)

// stateClient queries the state and the readiness of processes. Its timeout limits
// the wait for a frozen process. It keeps no connections, because a process may
// have been killed meanwhile.
var stateClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func clusterOf(ts *testscript.TestScript) *cluster {
	c, ok := ts.Value(clusterKey{}).(*cluster)
	if !ok {
		ts.Fatalf("no cluster was started")
	}
	return c
}

// parse parses the flags of a command and returns the remaining arguments.
func parse(ts *testscript.TestScript, flags *flag.FlagSet, args []string) []string {
	flags.SetOutput(io.Discard)
	ts.Check(flags.Parse(args))
	return flags.Args()
}

// argument returns argument n, counted from 0. The script fails if it is missing.
func argument(ts *testscript.TestScript, args []string, n int) string {
	if n >= len(args) {
		ts.Fatalf("argument %d is missing", n+1)
	}
	return args[n]
}

// startCluster: cluster [flags] starts all processes of the cluster and waits
// until they are ready.
func startCluster(ts *testscript.TestScript, _ bool, args []string) {
	var o clusterOptions
	flags := flag.NewFlagSet("cluster", flag.ContinueOnError)
	flags.IntVar(&o.gateways, "gateways", 2, "")
	flags.IntVar(&o.engines, "engines", 0, "")
	flags.IntVar(&o.plain, "plain", 0, "")
	flags.IntVar(&o.idleTimeoutMillis, "idle-timeout-ms", 0, "")
	flags.IntVar(&o.memoryTokens, "memory-tokens", 0, "")
	flags.IntVar(&o.keyLifetimeSeconds, "key-lifetime", 0, "")
	flags.Float64Var(&o.slowdown, "slowdown", 1, "")
	flags.BoolVar(&o.cold, "cold", false, "")
	flags.BoolVar(&o.deduplicates, "deduplicates", false, "")
	flags.StringVar(&o.plainDelay, "plain-delay", "0s", "")
	parse(ts, flags, args)
	c := clusterOf(ts)
	c.initialise(ts.MkAbs("."), o)
	ts.Check(c.start())
}

// startCompletion: ask [flags] NAME sends a completion request and does not wait
// for the response. The flag -whole requests a response that is not streamed.
func startCompletion(ts *testscript.TestScript, _ bool, args []string) {
	flags := flag.NewFlagSet("ask", flag.ContinueOnError)
	gateways := flags.String("gateways", "gateway-1", "")
	key := flags.String("key", "key-bakery", "")
	requestID := flags.String("request-id", "", "")
	tokens := flags.Int("tokens", 100, "")
	resume := flags.Bool("resume", false, "")
	whole := flags.Bool("whole", false, "")
	pause := flags.Duration("pause", 0, "")
	after := flags.String("after", "", "name of the call whose last event ID is sent as Last-Event-ID")
	name := argument(ts, parse(ts, flags, args), 0)
	c := newCall(ts, *gateways, *key)
	ts.Check(c.setCompletion("quote for "+name, *tokens, !*whole))
	c.resume, c.pause = *resume, *pause
	if !*whole {
		c.wantTokens = *tokens
	}
	if *requestID != "" {
		c.header.Set("X-Request-Id", *requestID)
	}
	if *after != "" {
		c.header.Set("Last-Event-ID", callOf(ts, *after).lastEventID())
	}
	clusterOf(ts).calls[name] = c
	c.start()
}

func newCall(ts *testscript.TestScript, gateways, key string) *call {
	return clusterOf(ts).newCall(gateways, key)
}

// startOrder: order [flags] NAME sends an order to the plain service and does not
// wait for the response.
func startOrder(ts *testscript.TestScript, _ bool, args []string) {
	flags := flag.NewFlagSet("order", flag.ContinueOnError)
	gateway := flags.String("gateway", "gateway-1", "")
	key := flags.String("key", "key-bakery", "")
	idempotencyKey := flags.String("idempotency-key", "", "")
	body := flags.String("body", `{"stand":"tall gold"}`, "")
	method := flags.String("method", http.MethodPost, "")
	untilKnown := flags.Bool("until-known", false, "")
	name := argument(ts, parse(ts, flags, args), 0)
	c := newCall(ts, *gateway, *key)
	c.method, c.path, c.body = *method, "/hire/bookings", []byte(*body)
	c.untilKnown = *untilKnown
	if *idempotencyKey != "" {
		c.header.Set("Idempotency-Key", *idempotencyKey)
	}
	clusterOf(ts).calls[name] = c
	c.start()
}

// mintKey: mint ENV [GATEWAY] requests a new order key from the gateway, by default
// gateway-1, and stores it in the environment variable.
func mintKey(ts *testscript.TestScript, _ bool, args []string) {
	gateway := "gateway-1"
	if len(args) > 1 {
		gateway = args[1]
	}
	key, err := clusterOf(ts).mintKey(http.DefaultClient, gateway)
	ts.Check(err)
	ts.Setenv(argument(ts, args, 0), key)
}

// mintKey requests a new order key from the gateway.
func (c *cluster) mintKey(client *http.Client, gateway string) (string, error) {
	url := "http://" + c.address(gateway, "caller") + "/v1/order-keys?service=" + plainService
	request, err := http.NewRequest(http.MethodPost, url, nil)
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer key-bakery")
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		OrderKey string `json:"order_key"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	if err == nil && answer.OrderKey == "" {
		err = errors.Newf("no order key in the response: status %d", response.StatusCode)
	}
	return answer.OrderKey, err
}

func callOf(ts *testscript.TestScript, name string) *call {
	c := clusterOf(ts).calls[name]
	if c == nil {
		ts.Fatalf("no call %q", name)
	}
	return c
}

// awaitReceived: received NAME N waits until the call has received at least N
// tokens.
func awaitReceived(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(argument(ts, args, 1))
	ts.Check(err)
	c := callOf(ts, args[0])
	ts.Check(poll(conditionTimeout, "receipt of the tokens of "+args[0], func() bool { return c.tokenCount() >= n }))
}

// printAnswer: answer NAME waits until the call has ended and prints its summary.
func printAnswer(ts *testscript.TestScript, _ bool, args []string) {
	c := callOf(ts, argument(ts, args, 0))
	<-c.ended
	if c.failure != nil {
		ts.Logf("problem in the response: %v", c.failure)
	}
	if c.connectionErr != nil {
		ts.Logf("connection error: %v", c.connectionErr)
	}
	_, err := io.WriteString(ts.Stdout(), c.summary())
	ts.Check(err)
}

// cancelCall: cancel NAME closes the caller's connection.
func cancelCall(ts *testscript.TestScript, _ bool, args []string) {
	c := callOf(ts, argument(ts, args, 0))
	c.cancel()
	<-c.ended
}

// awaitIdle: idle ENGINE waits until the engine has no running and no waiting
// request. The timeout is half of the time after which a generation without a
// reader is cancelled anyway.
func awaitIdle(ts *testscript.TestScript, _ bool, args []string) {
	name := argument(ts, args, 0)
	ts.Check(poll(idleTimeout, name+" idle", func() bool {
		state, err := clusterOf(ts).engineState(name)
		return err == nil && string(state["running"]) == "0" && string(state["waiting"]) == "0"
	}))
}

// checkCold: cold ENGINE N checks that the engine received requests while it was
// cold, and that it never held more than N at the arrival of one.
func checkCold(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := strconv.Atoi(argument(ts, args, 1))
	ts.Check(err)
	state, err := clusterOf(ts).engineState(args[0])
	ts.Check(err)
	held, err := strconv.Atoi(string(state["most_while_cold"]))
	ts.Check(err)
	if held == 0 || held > limit {
		ts.Fatalf("%s held at most %d requests while cold, want 1 to %d", args[0], held, limit)
	}
}

// startCompletions: askmany N PREFIX sends completion requests as the calls PREFIX1
// to PREFIXN, spread over all gateways.
func startCompletions(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(argument(ts, args, 0))
	ts.Check(err)
	for i := range n {
		gateway := fmt.Sprintf("gateway-%d", i%clusterOf(ts).options.gateways+1)
		startCompletion(ts, false, []string{"-gateways", gateway, argument(ts, args, 1) + strconv.Itoa(i+1)})
	}
}

// awaitCompletions: endmany [-incomplete] N PREFIX waits until the calls PREFIX1 to
// PREFIXN have ended. Each must have received all tokens or the outcome not_run, or
// with -incomplete the outcome incomplete. At least one must have received all
// tokens.
func awaitCompletions(ts *testscript.TestScript, _ bool, args []string) {
	flags := flag.NewFlagSet("endmany", flag.ContinueOnError)
	incomplete := flags.Bool("incomplete", false, "")
	args = parse(ts, flags, args)
	n, err := strconv.Atoi(argument(ts, args, 0))
	ts.Check(err)
	complete := 0
	for i := range n {
		c := callOf(ts, argument(ts, args, 1)+strconv.Itoa(i+1))
		<-c.ended
		switch {
		case c.complete && c.checkTokens() == "whole":
			complete++
		case c.failure == nil:
			ts.Fatalf("call %d ended without all tokens and without a problem: %s", i+1, c.summary())
		case c.failure.Outcome == problem.OutcomeNotRun:
		case c.failure.Outcome == problem.OutcomeIncomplete && *incomplete:
		default:
			ts.Fatalf("call %d ended with an unexpected outcome: %s", i+1, c.summary())
		}
	}
	ts.Logf("%d of %d calls received all tokens", complete, n)
	if complete == 0 {
		ts.Fatalf("none of the calls received all tokens")
	}
}

// checkExecutions: executions KEY N [MAX] checks that the plain service executed
// requests with the idempotency key N times, or N to MAX times.
func checkExecutions(ts *testscript.TestScript, _ bool, args []string) {
	minimum, err := strconv.Atoi(argument(ts, args, 1))
	ts.Check(err)
	maximum := minimum
	if len(args) > 2 {
		maximum, err = strconv.Atoi(args[2])
		ts.Check(err)
	}
	n, err := clusterOf(ts).executions(args[0])
	ts.Check(err)
	if n < minimum || n > maximum {
		ts.Fatalf("requests with key %s ran %d times, want %d to %d", args[0], n, minimum, maximum)
	}
}

// checkNoNewWork: refuses INSTANCE checks that the instance receives no new work
// once the time limit of G3 and G7 has passed, although callers send requests.
func checkNoNewWork(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	name := argument(ts, args, 0)
	time.Sleep(noNewWorkTimeout)
	before := c.executedBy(ts, name)
	for i := range 20 {
		request := newCall(ts, fmt.Sprintf("gateway-%d", i%c.options.gateways+1), "key-bakery")
		body, err := json.Marshal(map[string]any{"model": model, "prompt": strconv.Itoa(i), "max_tokens": 1})
		ts.Check(err)
		request.method, request.path, request.body = http.MethodPost, "/v1/completions", body
		request.start()
		<-request.ended
		if request.status != http.StatusOK {
			ts.Fatalf("response to request %d: status %d %s", i, request.status, request.answer)
		}
	}
	if after := c.executedBy(ts, name); after != before {
		ts.Fatalf("%s has received %s requests, %s before the time limit passed", name, after, before)
	}
}

// executedBy returns the number of requests that the engine has received.
func (c *cluster) executedBy(ts *testscript.TestScript, name string) string {
	state, err := c.engineState(name)
	ts.Check(err)
	return string(state["executed"])
}

// storeExecuted: executed ENGINE ENV stores the number of requests that the engine
// has received in the environment variable.
func storeExecuted(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(argument(ts, args, 1), clusterOf(ts).executedBy(ts, args[0]))
}

// checkUnchanged: unchanged ENGINE N checks that the engine has received exactly N
// requests.
func checkUnchanged(ts *testscript.TestScript, _ bool, args []string) {
	now := clusterOf(ts).executedBy(ts, argument(ts, args, 0))
	if now != argument(ts, args, 1) {
		ts.Fatalf("%s has received %s requests, want %s", args[0], now, args[1])
	}
}

// sendRequest: request METHOD PROCESS[/LISTENER] PATH [HEADER:VALUE...] sends a
// request without a body and prints the status of the response. The listener is
// caller by default.
func sendRequest(ts *testscript.TestScript, _ bool, args []string) {
	name, listener, found := strings.Cut(argument(ts, args, 1), "/")
	if !found {
		listener = "caller"
	}
	url := "http://" + clusterOf(ts).address(name, listener) + argument(ts, args, 2)
	request, err := http.NewRequest(args[0], url, nil)
	ts.Check(err)
	for _, header := range args[3:] {
		key, value, _ := strings.Cut(header, ":")
		request.Header.Set(key, strings.TrimSpace(value))
	}
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	_ = response.Body.Close()
	_, err = fmt.Fprintf(ts.Stdout(), "status %d\n", response.StatusCode)
	ts.Check(err)
}
