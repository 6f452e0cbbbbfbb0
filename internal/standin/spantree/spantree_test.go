package spantree_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/settings"
	"github.com/flamingohold/flamingohold/internal/process/telemetry"
	"github.com/flamingohold/flamingohold/internal/standin/spantree"
)

// Guards against a tree that lacks a span of one process or prints it below the
// wrong parent. Another trace and an incomplete line must be ignored.
func TestSpansOfTwoProcessesFormATree(t *testing.T) {
	folder := t.TempDir()
	first, err := telemetry.New(t.Context(), &settings.Settings{Name: "gateway-1", TraceFile: filepath.Join(folder, "a.jsonl")})
	require.NoError(t, err)
	second, err := telemetry.New(t.Context(), &settings.Settings{Name: "sidecar-1", TraceFile: filepath.Join(folder, "b.jsonl")})
	require.NoError(t, err)
	ctx, outer := first.Tracer().Start(t.Context(), "outer")
	_, inner := second.Tracer().Start(ctx, "inner")
	inner.End()
	outer.End()
	_, other := first.Tracer().Start(t.Context(), "other trace")
	other.End()
	require.NoError(t, first.Shutdown(t.Context()))
	require.NoError(t, second.Shutdown(t.Context()))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "c.jsonl"), []byte(`{"Name":"incomplete line`), 0o600))

	tree, err := spantree.Read(folder, outer.SpanContext().TraceID().String())
	require.NoError(t, err)
	require.Equal(t, 2, tree.ProcessCount())
	var b bytes.Buffer
	tree.Print(&b)
	lines := strings.Split(strings.TrimRight(b.String(), "\n"), "\n")
	require.Len(t, lines, 2)
	require.True(t, strings.HasPrefix(lines[0], "  gateway-1: outer"), lines[0])
	require.True(t, strings.HasPrefix(lines[1], "    sidecar-1: inner"), lines[1])
}
