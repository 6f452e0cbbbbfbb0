package benchmark

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

// Guards against a baseline that keeps an admission mechanism and against a data
// centre that stays in service.
func TestWriteFilesChangesPolicyAndDataCentres(t *testing.T) {
	policy, err := policyOf("round_robin")
	require.NoError(t, err)
	folder := filepath.Join(t.TempDir(), "files")
	require.NoError(t, writeFiles("../../../examples/fjordlam", folder, policy, []string{"vestland-b"}))
	content, err := os.ReadFile(filepath.Join(folder, fleetName))
	require.NoError(t, err)
	var f fleet.Fleet
	require.NoError(t, json.Unmarshal(content, &f))
	require.Equal(t, fleet.Policy{Routing: "round_robin", LengthQuantile: 0.8, TargetStepMillis: 76}, f.Policy)
	require.True(t, f.InService("vestland-a"))
	require.False(t, f.InService("vestland-b"))
	require.FileExists(t, filepath.Join(folder, "services", "bestilling", "service.flamingohold.json"))
}

// Guards against a name in the list that cannot be run.
func TestNamesAreKnown(t *testing.T) {
	for _, name := range PolicyNames() {
		_, err := policyOf(name)
		require.NoError(t, err)
	}
	_, err := policyOf("other")
	require.Error(t, err)
	_, err = scenarioOf("other")
	require.Error(t, err)
}
