package spantree

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxLineBytes = 1 << 20
	// processKey is the resource attribute that identifies a process.
	processKey = "service.instance.id"
)

// Tree holds the spans of one trace, sorted by start time.
type Tree struct {
	spans []span
}

// span is one line of the OpenTelemetry stdout exporter, decoded by field name.
type span struct {
	Name        string
	SpanContext spanContext
	Parent      spanContext
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []attribute
	Resource    []attribute
}

type spanContext struct {
	TraceID string
	SpanID  string
}

type attribute struct {
	Key   string
	Value struct{ Value any }
}

// Read returns the spans of the trace in the files *.jsonl of the folder.
func Read(folder, traceID string) (*Tree, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.jsonl"))
	if err != nil {
		return nil, errors.Wrap(err, "list span files")
	}
	t := new(Tree)
	for _, file := range files {
		if err := t.readFile(file, traceID); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(t.spans, func(a, b span) int { return a.StartTime.Compare(b.StartTime) })
	return t, nil
}

func (t *Tree) readFile(path, traceID string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open span file")
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), traceID) {
			continue
		}
		var s span
		if err := json.Unmarshal(scanner.Bytes(), &s); err != nil {
			// The exporter may not have finished writing the last line.
			continue
		}
		t.spans = append(t.spans, s)
	}
	return errors.Wrapf(scanner.Err(), "read span file %s", path)
}

// ProcessCount returns the number of processes that contributed spans.
func (t *Tree) ProcessCount() int {
	names := map[string]bool{}
	for _, s := range t.spans {
		names[s.processName()] = true
	}
	return len(names)
}

// processName returns the instance ID of the process that wrote the span, or "?"
// if the span has none.
func (s *span) processName() string {
	for _, a := range s.Resource {
		if a.Key == processKey {
			return fmt.Sprint(a.Value.Value)
		}
	}
	return "?"
}

// Print writes one line for each span, indented below its parent: process and span
// name, offset from the start of the root span, duration, attributes. A span whose
// parent is unknown is a root.
func (t *Tree) Print(w io.Writer) {
	spanIDs := map[string]bool{}
	for _, s := range t.spans {
		spanIDs[s.SpanContext.SpanID] = true
	}
	for i := range t.spans {
		if !spanIDs[t.spans[i].Parent.SpanID] {
			t.printSubtree(w, &t.spans[i], t.spans[i].StartTime, 1)
		}
	}
}

// printSubtree prints the span and its descendants with offsets from start.
func (t *Tree) printSubtree(w io.Writer, s *span, start time.Time, depth int) {
	var attributes strings.Builder
	for _, a := range s.Attributes {
		fmt.Fprintf(&attributes, " %s=%v", a.Key, a.Value.Value)
	}
	label := strings.Repeat("  ", depth) + s.processName() + ": " + s.Name
	_, _ = fmt.Fprintf(w, "%-52s +%8.2f ms %9.2f ms%s\n", label, millis(s.StartTime.Sub(start)),
		millis(s.EndTime.Sub(s.StartTime)), attributes.String())
	for i := range t.spans {
		if t.spans[i].Parent.SpanID == s.SpanContext.SpanID {
			t.printSubtree(w, &t.spans[i], start, depth+1)
		}
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
