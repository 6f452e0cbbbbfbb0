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

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/flamingohold/flamingohold/pkg/problem"
)

const (
	conditionTimeout = 60 * time.Second
	// noNewWorkTimeout is the bound of guarantees G3 and G7 ("a few seconds").
	noNewWorkTimeout = 5 * time.Second
	idleTimeout      = 15 * time.Second
	// inForceTimeout is the target for a change of configuration.
	inForceTimeout = 14 * time.Second
)

// stateClient reads states. It bounds the wait for a frozen process and keeps no
// connection to a killed one.
var stateClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func clusterOf(ts *testscript.TestScript) *cluster {
	c, ok := ts.Value(clusterKey{}).(*cluster)
	if !ok {
		ts.Fatalf("no cluster")
	}
	return c
}

// parse reads flags and returns the remaining arguments.
func parse(ts *testscript.TestScript, flags *flag.FlagSet, args []string) []string {
	flags.SetOutput(io.Discard)
	ts.Check(flags.Parse(args))
	return flags.Args()
}

func argument(ts *testscript.TestScript, args []string, n int) string {
	if n >= len(args) {
		ts.Fatalf("argument %d is missing", n+1)
	}
	return args[n]
}

// startCluster: cluster [flags]
func startCluster(ts *testscript.TestScript, _ bool, args []string) {
	var s shape
	flags := flag.NewFlagSet("cluster", flag.ContinueOnError)
	flags.IntVar(&s.gateways, "gateways", 2, "")
	flags.IntVar(&s.engines, "engines", 0, "")
	flags.IntVar(&s.plain, "plain", 0, "")
	flags.IntVar(&s.idleTimeoutMillis, "idle-timeout-ms", 0, "")
	flags.IntVar(&s.memoryTokens, "memory-tokens", 0, "")
	flags.IntVar(&s.keyLifetimeSeconds, "key-lifetime", 0, "")
	flags.Float64Var(&s.slowdown, "slowdown", 1, "")
	flags.BoolVar(&s.cold, "cold", false, "")
	flags.BoolVar(&s.deduplicates, "deduplicates", false, "")
	flags.StringVar(&s.plainDelay, "plain-delay", "0s", "")
	parse(ts, flags, args)
	c := clusterOf(ts)
	c.initialise(ts.MkAbs("."), s)
	ts.Check(c.start())
}

// ask: ask [flags] NAME
func ask(ts *testscript.TestScript, _ bool, args []string) {
	flags := flag.NewFlagSet("ask", flag.ContinueOnError)
	gateways := flags.String("gateways", "gateway-1", "")
	key := flags.String("key", "key-bakery", "")
	requestID := flags.String("request-id", "", "")
	tokens := flags.Int("tokens", 100, "")
	resume := flags.Bool("resume", false, "")
	whole := flags.Bool("whole", false, "")
	pause := flags.Duration("pause", 0, "")
	after := flags.String("after", "", "call whose last event id is sent")
	name := argument(ts, parse(ts, flags, args), 0)
	prompt := "quote for " + name
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": *tokens, "stream": !*whole})
	ts.Check(err)
	c := newCall(ts, *gateways, *key)
	c.method, c.path, c.body = http.MethodPost, "/v1/completions", body
	c.prompt, c.resume, c.pause = prompt, *resume, *pause
	if !*whole {
		c.tokens = *tokens
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

// order: order [flags] NAME
func order(ts *testscript.TestScript, _ bool, args []string) {
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

// mint: mint ENV [GATEWAY] stores a newly minted order key.
func mint(ts *testscript.TestScript, _ bool, args []string) {
	gateway := "gateway-1"
	if len(args) > 1 {
		gateway = args[1]
	}
	address := clusterOf(ts).address(gateway, "caller")
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/order-keys?service="+plainService, nil)
	ts.Check(err)
	request.Header.Set("Authorization", "Bearer key-bakery")
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		OrderKey string `json:"order_key"`
	}
	ts.Check(json.NewDecoder(response.Body).Decode(&answer))
	if answer.OrderKey == "" {
		ts.Fatalf("no key minted: status %d", response.StatusCode)
	}
	ts.Setenv(argument(ts, args, 0), answer.OrderKey)
}

func callOf(ts *testscript.TestScript, name string) *call {
	c := clusterOf(ts).calls[name]
	if c == nil {
		ts.Fatalf("no call %q", name)
	}
	return c
}

// awaitReceived: received NAME N
func awaitReceived(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(argument(ts, args, 1))
	ts.Check(err)
	c := callOf(ts, args[0])
	ts.Check(poll(conditionTimeout, "tokens of "+args[0], func() bool { return c.count() >= n }))
}

// printAnswer: answer NAME waits for the end and prints the session.
func printAnswer(ts *testscript.TestScript, _ bool, args []string) {
	c := callOf(ts, argument(ts, args, 0))
	<-c.ended
	if c.failure != nil {
		ts.Logf("problem: %v", c.failure)
	}
	if c.broken != nil {
		ts.Logf("connection: %v", c.broken)
	}
	_, err := io.WriteString(ts.Stdout(), c.report())
	ts.Check(err)
}

// cancelCall: cancel NAME closes the caller's connection.
func cancelCall(ts *testscript.TestScript, _ bool, args []string) {
	c := callOf(ts, argument(ts, args, 0))
	c.cancel()
	<-c.ended
}

// awaitIdle: idle ENGINE waits until the engine runs nothing. The bound is half of
// the time after which a generation without a reader is cancelled anyway.
func awaitIdle(ts *testscript.TestScript, _ bool, args []string) {
	name := argument(ts, args, 0)
	ts.Check(poll(idleTimeout, name+" idle", func() bool {
		state, err := clusterOf(ts).engineState(name)
		return err == nil && string(state["running"]) == "0" && string(state["waiting"]) == "0"
	}))
}

// checkCold: cold ENGINE N checks that the engine never held more than N requests
// when one arrived while it was cold.
func checkCold(ts *testscript.TestScript, _ bool, args []string) {
	most, err := strconv.Atoi(argument(ts, args, 1))
	ts.Check(err)
	state, err := clusterOf(ts).engineState(args[0])
	ts.Check(err)
	held, err := strconv.Atoi(string(state["most_while_cold"]))
	ts.Check(err)
	if held == 0 || held > most {
		ts.Fatalf("%s held %d requests while cold, want 1 to %d", args[0], held, most)
	}
}

// askMany: askmany N PREFIX starts calls PREFIX1 to PREFIXN through all gateways.
func askMany(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(argument(ts, args, 0))
	ts.Check(err)
	for i := range n {
		gateway := fmt.Sprintf("gateway-%d", i%clusterOf(ts).shape.gateways+1)
		ask(ts, false, []string{"-gateways", gateway, argument(ts, args, 1) + strconv.Itoa(i+1)})
	}
}

// endMany: endmany N PREFIX waits for the calls' ends, which must be whole or not
// run, or with -incomplete also incomplete.
func endMany(ts *testscript.TestScript, _ bool, args []string) {
	flags := flag.NewFlagSet("endmany", flag.ContinueOnError)
	incomplete := flags.Bool("incomplete", false, "")
	args = parse(ts, flags, args)
	n, err := strconv.Atoi(argument(ts, args, 0))
	ts.Check(err)
	whole := 0
	for i := range n {
		c := callOf(ts, argument(ts, args, 1)+strconv.Itoa(i+1))
		<-c.ended
		switch {
		case c.clean && c.judgeTokens() == "whole":
			whole++
		case c.failure == nil:
			ts.Fatalf("call %d ended without a problem: %s", i+1, c.report())
		case c.failure.Outcome == problem.OutcomeNotRun:
		case c.failure.Outcome == problem.OutcomeIncomplete && *incomplete:
		default:
			ts.Fatalf("call %d: %s", i+1, c.report())
		}
	}
	ts.Logf("%d of %d whole", whole, n)
	if whole == 0 {
		ts.Fatalf("no answer is whole")
	}
}

// checkExecutions: executions KEY N [MAX] checks how often the key's request ran.
func checkExecutions(ts *testscript.TestScript, _ bool, args []string) {
	least, err := strconv.Atoi(argument(ts, args, 1))
	ts.Check(err)
	most := least
	if len(args) > 2 {
		most, err = strconv.Atoi(args[2])
		ts.Check(err)
	}
	n, err := clusterOf(ts).executions(args[0])
	ts.Check(err)
	if n < least || n > most {
		ts.Fatalf("key %s ran %d times, want %d to %d", args[0], n, least, most)
	}
}

// awaitRefusal: refuses INSTANCE asserts that within the bound of G3 and G7 the
// instance receives no new work, while callers keep asking for answers.
func awaitRefusal(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	name := argument(ts, args, 0)
	time.Sleep(noNewWorkTimeout)
	before := c.executedBy(ts, name)
	for i := range 20 {
		answered := newCall(ts, fmt.Sprintf("gateway-%d", i%c.shape.gateways+1), "key-bakery")
		body, err := json.Marshal(map[string]any{"model": model, "prompt": strconv.Itoa(i), "max_tokens": 1})
		ts.Check(err)
		answered.method, answered.path, answered.body = http.MethodPost, "/v1/completions", body
		answered.start()
		<-answered.ended
		if answered.status != http.StatusOK {
			ts.Fatalf("answer %d: status %d %s", i, answered.status, answered.answer)
		}
	}
	if after := c.executedBy(ts, name); after != before {
		ts.Fatalf("%s received %s requests after the bound, had %s", name, after, before)
	}
}

func (c *cluster) executedBy(ts *testscript.TestScript, name string) string {
	state, err := c.engineState(name)
	ts.Check(err)
	return string(state["executed"])
}

// storeExecuted: executed ENGINE ENV stores the number of requests that the engine
// was given.
func storeExecuted(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(argument(ts, args, 1), clusterOf(ts).executedBy(ts, args[0]))
}

// checkUnchanged: unchanged ENGINE N checks that the engine was given no more than
// N requests.
func checkUnchanged(ts *testscript.TestScript, _ bool, args []string) {
	now := clusterOf(ts).executedBy(ts, argument(ts, args, 0))
	if now != argument(ts, args, 1) {
		ts.Fatalf("%s was given %s requests, had %s", args[0], now, args[1])
	}
}

// plainRequest: request METHOD GATEWAY[/LISTENER] PATH [HEADER:VALUE...] prints the status.
func plainRequest(ts *testscript.TestScript, _ bool, args []string) {
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
