package eventlog_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
)

const documentPath = "../../../docs/events.md"

// Guards against two events with one number or name, and against events without
// an explanation for operators.
func TestCatalogueIsUniqueAndExplained(t *testing.T) {
	numbers := make(map[int]string)
	names := make(map[string]int)
	for _, e := range eventlog.Catalogue() {
		require.Empty(t, numbers[e.Number], "number %d stands twice", e.Number)
		require.Zero(t, names[e.Name], "name %s stands twice", e.Name)
		require.NotEmpty(t, e.Meaning, e.Name)
		require.NotEmpty(t, e.Action, e.Name)
		numbers[e.Number] = e.Name
		names[e.Name] = e.Number
	}
}

// Guards against a catalogue for operators that differs from the code. Set
// UPDATE_DOCS=1 to write it anew.
func TestDocumentListsTheCatalogue(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line is a JSON object with `event` (the number), `name`, `process` and `time`. ")
	b.WriteString("Numbers are never reused.\nThis page is written by `UPDATE_DOCS=1 go test ./internal/process/eventlog`.\n\n")
	b.WriteString("| event | name | level | meaning | action |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range eventlog.Catalogue() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, e.Action)
	}
	if os.Getenv("UPDATE_DOCS") != "" {
		require.NoError(t, os.WriteFile(documentPath, []byte(b.String()), 0o600))
	}
	content, err := os.ReadFile(documentPath)
	require.NoError(t, err)
	require.Equal(t, b.String(), string(content))
}

// Guards against log lines that cannot be found by their number.
func TestEmitWritesNumberAndName(t *testing.T) {
	var buffer bytes.Buffer
	l := eventlog.New(&buffer, zerolog.InfoLevel, "gateway-1")
	l.Emit(eventlog.ProcessStarted).Str("address", "127.0.0.1:1").Send()
	require.Contains(t, buffer.String(), `"event":1000,"name":"process_started","address":"127.0.0.1:1"`)
}
