package scenarios_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

const (
	overheadEngines = 4
	overheadTokens  = 100
	// overheadInterval is the time between two tokens of a stream.
	overheadInterval = 50 * time.Millisecond
	// startTokens is the number of tokens of each stream that count as part of its
	// start, during which all other streams are opened too.
	startTokens = 20
	// maxDelay is the largest delay that the histograms can record.
	maxDelay = time.Minute
)

// Measures the delay that the path through one gateway and its sidecars adds to
// each token, in comparison with direct connections to the same engines in the
// same run, and the gateway's memory for each stream. MEASURE_STREAMS sets the
// number of streams. The test asserts only that no token is lost.
func TestStreamOverhead(t *testing.T) {
	streams, err := strconv.Atoi(os.Getenv("MEASURE_STREAMS"))
	if err != nil {
		t.Skip("MEASURE_STREAMS is not set")
	}
	c := new(cluster)
	c.initialise(t.TempDir(), clusterOptions{gateways: 1, concurrency: streams})
	c.fleet.Policy = fleet.Policy{
		Routing: "round_robin", LengthQuantile: 0.8, TargetStepMillis: 10_000,
	}
	var engines []string
	for n := range overheadEngines {
		server := httptest.NewServer(timedEngine())
		t.Cleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		engines = append(engines, address)
		name := fmt.Sprintf("%s-%d", engineService, n+1)
		c.register(name, engineService, dataCentre(n), address, c.address(name, "peer"))
	}
	defer c.close()
	defer saveLogs(t, c)
	require.NoError(t, c.start())
	gateway := c.processes["gateway-1"]
	idle := residentBytes(t, gateway)
	direct, _ := measureStreams(t, engines, streams, func() {})
	var busy int64
	through, lost := measureStreams(t, []string{c.address("gateway-1", "caller")}, streams, func() { busy = residentBytes(t, gateway) })
	require.Zero(t, lost)
	t.Logf("direct:  %s", direct)
	t.Logf("gateway: %s", through)
	t.Logf("gateway memory: %d B without streams, %d B for each stream", idle, (busy-idle)/int64(streams))
}

// delays holds the times from the write of a token by the engine to its receipt by
// the caller, in nanoseconds.
type delays struct {
	// start holds the first startTokens tokens of each stream, and steady the rest.
	start, steady *hdrhistogram.Histogram
	count         int
}

func newDelays() *delays {
	return &delays{start: hdrhistogram.New(1, int64(maxDelay), 3), steady: hdrhistogram.New(1, int64(maxDelay), 3)}
}

func (d *delays) record(delay int64) {
	d.count++
	h := d.steady
	if d.count <= startTokens {
		h = d.start
	}
	_ = h.RecordValue(max(1, delay))
}

func (d *delays) merge(o *delays) {
	d.start.Merge(o.start)
	d.steady.Merge(o.steady)
	d.count += o.count
}

// String returns the medians and the 99th percentiles of start and steady.
func (d *delays) String() string {
	return fmt.Sprintf("start p50 %s p99 %s, later p50 %s p99 %s",
		time.Duration(d.start.ValueAtQuantile(50)), time.Duration(d.start.ValueAtQuantile(99)),
		time.Duration(d.steady.ValueAtQuantile(50)), time.Duration(d.steady.ValueAtQuantile(99)))
}

// timedEngine returns a stand-in for an engine that streams overheadTokens tokens
// for each completion. The text of a token is the Unix time in nanoseconds at
// which it was written.
func timedEngine() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/models", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"object":"list","data":[{"id":"`+model+`","object":"model"}]}`)
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "vllm:num_requests_running 0\n")
	})
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		flusher := http.NewResponseController(w)
		ticker := time.NewTicker(overheadInterval)
		defer ticker.Stop()
		for n := 1; n <= overheadTokens; n++ {
			<-ticker.C
			finish := "null"
			if n == overheadTokens {
				finish = `"length"`
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"x\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\"%d\",\"finish_reason\":%s}]}\n\n",
				n, time.Now().UnixNano(), finish)
			_ = flusher.Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	return mux
}

// measureStreams runs the streams concurrently and returns the delays of their
// tokens and the number of lost tokens. It calls halfway once, after about half
// of the tokens.
func measureStreams(t *testing.T, addresses []string, streams int, halfway func()) (total *delays, lost int) {
	total = newDelays()
	var mu sync.Mutex
	var group sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 0}}
	for n := range streams {
		group.Go(func() {
			d := readTimedStream(client, addresses[n%len(addresses)])
			mu.Lock()
			defer mu.Unlock()
			total.merge(d)
		})
	}
	time.Sleep(overheadTokens * overheadInterval / 2)
	halfway()
	group.Wait()
	t.Logf("received %d tokens of %d streams", total.count, streams)
	return total, streams*overheadTokens - total.count
}

// readTimedStream reads one stream and returns the delays of the tokens that it
// received.
func readTimedStream(client *http.Client, address string) *delays {
	d := newDelays()
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": "p", "max_tokens": overheadTokens, "stream": true})
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return d
	}
	request.Header.Set("Authorization", "Bearer key-bakery")
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return d
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		_, rest, found := strings.Cut(scanner.Text(), `"text":"`)
		if !found {
			continue
		}
		text, _, _ := strings.Cut(rest, `"`)
		sent, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			continue
		}
		d.record(time.Now().UnixNano() - sent)
	}
	return d
}

// residentBytes returns the resident memory of a process in bytes.
func residentBytes(t *testing.T, p *process) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(t, err)
	for _, line := range strings.Split(string(content), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			n, err := strconv.ParseInt(fields[1], 10, 64)
			require.NoError(t, err)
			return n << 10
		}
	}
	return 0
}
