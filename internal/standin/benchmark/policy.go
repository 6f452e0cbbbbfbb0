package benchmark

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

const fleetFile = "fleet.flamingohold.json"

// policyFull is the name of the policy with every mechanism.
const policyFull = "full"

// PolicyNames returns the names of the policies: the full one with every
// mechanism, and three baselines that have a routing rule but no admission
// control.
func PolicyNames() []string {
	return []string{policyFull, "round_robin", "least_outstanding", "power_of_two"}
}

// findPolicy returns the fleet policy with the name.
func findPolicy(name string) (fleet.Policy, error) {
	full := fleet.DefaultPolicy()
	if name == policyFull {
		return full, nil
	}
	if !slices.Contains(PolicyNames(), name) {
		return fleet.Policy{}, errors.Newf("unknown policy %q; want one of %v", name, PolicyNames())
	}
	return fleet.Policy{
		Routing:          name,
		LengthQuantile:   full.LengthQuantile,
		TargetStepMillis: full.TargetStepMillis,
	}, nil
}

// writeFiles copies the operators' files of the example to the folder, replaces
// the policy and sets the state of the data centres in outOfService to out of
// service.
func writeFiles(exampleFolder, folder string, policy fleet.Policy, outOfService []string) error {
	if err := os.RemoveAll(folder); err != nil {
		return errors.Wrap(err, "clear directory of operators' files")
	}
	if err := os.CopyFS(folder, os.DirFS(exampleFolder)); err != nil {
		return errors.Wrapf(err, "copy %s", exampleFolder)
	}
	path := filepath.Join(folder, fleetFile)
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read fleet")
	}
	var f fleet.Fleet
	if err := json.Unmarshal(content, &f); err != nil {
		return errors.Wrapf(err, "decode %s", path)
	}
	f.Policy = policy
	for i := range f.DataCentres {
		if slices.Contains(outOfService, f.DataCentres[i].Name) {
			f.DataCentres[i].State = fleet.StateOutOfService
		}
	}
	content, err = json.MarshalIndent(f, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode fleet")
	}
	return errors.Wrap(os.WriteFile(path, content, 0o600), "write fleet")
}
