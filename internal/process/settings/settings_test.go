package settings_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/settings"
)

const documentPath = "../../../docs/settings.md"

// Guards against a field that neither a flag nor the environment can set, and
// against a field without a help text.
func TestEveryFieldCanBeOverridden(t *testing.T) {
	require.NotEmpty(t, settings.Fields())
	for _, f := range settings.Fields() {
		require.NotEmpty(t, f.Help, f.Name)
		_, err := new(settings.Settings).Override(func(name string) (string, bool) { return "7", name == f.Name })
		require.NoError(t, err, f.Name)
	}
}

// Guards against a page for operators that differs from the code. Set
// UPDATE_DOCS=1 to generate the page again.
func TestDocumentMatchesSettings(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Settings of a process\n\n`flamingohold gateway` and `flamingohold sidecar` read a JSON file (`--settings` or ")
	b.WriteString("`FLAMINGOHOLD_SETTINGS`).\nA flag replaces the environment, which replaces the file.\n\n")
	b.WriteString("This page is written by `UPDATE_DOCS=1 go test ./internal/process/settings`.\n\n")
	b.WriteString("| field | flag | environment | meaning |\n| --- | --- | --- | --- |\n")
	for _, f := range settings.Fields() {
		flag, variable := strings.ReplaceAll(f.Name, "_", "-"), strings.ToUpper(f.Name)
		fmt.Fprintf(&b, "| `%s` | `--%s` | `FLAMINGOHOLD_%s` | %s |\n", f.Name, flag, variable, f.Help)
	}
	if os.Getenv("UPDATE_DOCS") != "" {
		require.NoError(t, os.WriteFile(documentPath, []byte(b.String()), 0o600))
	}
	content, err := os.ReadFile(documentPath)
	require.NoError(t, err)
	require.Equal(t, b.String(), string(content))
}

// Guards against overrides that are ignored, that modify the original, or that
// hide a value of the wrong type.
func TestOverrideReplacesOnlySpecifiedFields(t *testing.T) {
	s, err := settings.Read(strings.NewReader(`{"name":"gateway-1","max_connections":5}`), "file")
	require.NoError(t, err)
	values := map[string]string{"gateway_peers": "127.0.0.1:1, 127.0.0.1:2", "slot_incarnation": "3", "max_body_bytes": "9"}
	lookup := func(name string) (string, bool) { value, ok := values[name]; return value, ok }
	changed, err := s.Override(lookup)
	require.NoError(t, err)
	require.Equal(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, changed.GatewayPeers)
	require.Equal(t, uint64(3), changed.SlotIncarnation)
	require.Equal(t, 9, changed.MaxBodyBytes)
	require.Equal(t, 5, changed.MaxConnections)
	require.Empty(t, s.GatewayPeers)
	values["max_body_bytes"] = "many"
	_, err = s.Override(lookup)
	require.ErrorContains(t, err, "setting max_body_bytes")
}

// Guards against a process that starts without an address and fails later.
func TestValidateReportsEveryFault(t *testing.T) {
	s := &settings.Settings{Name: "sidecar-1", PeerAddress: "nowhere", DataCentre: "zg-a", Region: "hr-kont", Instance: "lm.1"}
	err := s.ValidateSidecar()
	for _, text := range []string{"admin_address is missing", "service is missing", "upstream_address is missing", "nowhere is not a host:port pair", "dot or colon"} {
		require.ErrorContains(t, err, text)
	}
	require.ErrorContains(t, s.ValidateGateway(), "caller_address is missing")
}
