package measure

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/request/frame"
)

const (
	// heartbeatsPerSecond is the rate at which a sidecar sends a load report on each
	// stream.
	heartbeatsPerSecond = 1
	// tokensPerSecond is the rate of a stream at the largest permitted time between
	// tokens, 76 ms.
	tokensPerSecond = 1000.0 / 76
)

func messageDefinitions() []definition {
	streams := []int{50, 100, 200, 400}
	return []definition{
		{"heartbeat_bytes", "B/s", "stream", streams, heartbeatBytes},
		{"instance_list_bytes", "B", "instance", []int{60, 350, 700, 1400}, instanceListBytes},
		{"token_frame_bytes", "B/s", "stream", streams, tokenFrameBytes},
	}
}

// frameSize returns the size in bytes of a frame as one chunk of HTTP/1.1.
func frameSize(f frame.Frame) int {
	line, err := f.Append(nil)
	if err != nil {
		panic(err)
	}
	return chunkedSize(len(line))
}

// chunkedSize returns the size in bytes of a line of n bytes as one chunk of
// HTTP/1.1.
func chunkedSize(n int) int { return n + len(strconv.FormatInt(int64(n), 16)) + len("\r\n\r\n") }

func heartbeatBytes(streams int) float64 {
	total := 0
	for i := range streams {
		total += heartbeatsPerSecond * frameSize(frame.Frame{Kind: frame.KindHeartbeat, Load: &load.Report{
			Instance: "worker-00001-a1b2", Incarnation: "0123456789abcdef", DataCentre: "dc-1",
			Phase: load.PhaseReady, Running: 90, Queued: i % 10, Limit: 96, FreeMemory: 0.123, StepMillis: 61.25,
			ConfigurationVersion: 1_760_000_000, ConfigurationHash: strings.Repeat("0", 64),
		}})
	}
	return float64(total)
}

// instanceListBytes returns the size in bytes of the platform's instance list.
func instanceListBytes(n int) float64 {
	data, err := json.Marshal(instances(n))
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

func tokenFrameBytes(streams int) float64 {
	data := `{"id":"` + strings.Repeat("x", chunkBytes-len(`{"id":""}`)) + `"}`
	size := frameSize(frame.Frame{Kind: frame.KindToken, Seq: 1000, Data: []byte(data)})
	return float64(streams*size) * tokensPerSecond
}
