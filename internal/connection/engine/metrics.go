package engine

import (
	"bytes"
	"context"
	"strconv"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Metrics is the load that an engine reports. The values lag behind the engine's
// actual load.
type Metrics struct {
	Running int
	Waiting int
	// UsedMemory is the used fraction of block memory, from 0 to 1.
	UsedMemory float64
	// Preemptions is the number of preemptions since the engine started.
	Preemptions uint64
	// MemoryTokens is the size of block memory in tokens, 0 if the engine does not
	// report it.
	MemoryTokens int
	// StartSeconds is the Unix time of the engine's start in seconds, 0 if the
	// engine does not report it. A changed value means that the engine restarted.
	StartSeconds float64
}

// Metrics reads the engine's load report.
func (c *Client) Metrics(ctx context.Context) (Metrics, error) {
	body, err := c.get(ctx, "/metrics")
	if err != nil {
		return Metrics{}, err
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return Metrics{}, errors.Wrapf(err, "parse metrics of engine %s", c.address)
	}
	return Metrics{
		Running:      int(sum(families["vllm:num_requests_running"])),
		Waiting:      int(sum(families["vllm:num_requests_waiting"])),
		UsedMemory:   sum(families["vllm:kv_cache_usage_perc"]),
		Preemptions:  uint64(sum(families["vllm:num_preemptions_total"])),
		MemoryTokens: memoryTokens(families["vllm:cache_config_info"]),
		StartSeconds: sum(families["process_start_time_seconds"]),
	}, nil
}

// sum returns the sum of the values of all label sets.
func sum(family *dto.MetricFamily) float64 {
	total := 0.0
	for _, m := range family.GetMetric() {
		total += m.GetGauge().GetValue() + m.GetCounter().GetValue() + m.GetUntyped().GetValue()
	}
	return total
}

func memoryTokens(family *dto.MetricFamily) int {
	total := 0
	for _, m := range family.GetMetric() {
		total += intLabel(m, "block_size") * intLabel(m, "num_gpu_blocks")
	}
	return total
}

func intLabel(m *dto.Metric, name string) int {
	for _, label := range m.GetLabel() {
		if label.GetName() == name {
			value, _ := strconv.Atoi(label.GetValue())
			return value
		}
	}
	return 0
}
