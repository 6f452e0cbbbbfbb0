package benchmark

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

// Guards against a baseline policy that keeps an admission mechanism, and against
// a data centre that stays in service.
func TestWriteFilesSetsPolicyAndDataCentres(t *testing.T) {
	policy, err := findPolicy("round_robin")
	require.NoError(t, err)
	folder := filepath.Join(t.TempDir(), "files")
	require.NoError(t, writeFiles("../../../examples/fjordlam", folder, policy, []string{"vestland-b"}))
	content, err := os.ReadFile(filepath.Join(folder, fleetFile))
	require.NoError(t, err)
	var f fleet.Fleet
	require.NoError(t, json.Unmarshal(content, &f))
	require.Equal(t, fleet.Policy{Routing: "round_robin", LengthQuantile: 0.8, TargetStepMillis: 76}, f.Policy)
	require.True(t, f.InService("vestland-a"))
	require.False(t, f.InService("vestland-b"))
	require.FileExists(t, filepath.Join(folder, "services", "bestilling", "service.flamingohold.json"))
}

// Guards against a listed policy that cannot be run, and against an unknown name
// that is accepted.
func TestPolicyNamesAreKnown(t *testing.T) {
	for _, name := range PolicyNames() {
		_, err := findPolicy(name)
		require.NoError(t, err)
	}
	_, err := findPolicy("other")
	require.Error(t, err)
	_, err = findScenario("other")
	require.Error(t, err)
}
