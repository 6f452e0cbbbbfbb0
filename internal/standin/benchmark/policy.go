package benchmark

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

const fleetName = "fleet.flamingohold.json"

// policyFull is the name of the policy with every mechanism in force.
const policyFull = "full"

// PolicyNames returns the policies that can be compared: every mechanism, and
// three routing rules without any admission mechanism.
func PolicyNames() []string {
	return []string{policyFull, "round_robin", "least_outstanding", "power_of_two"}
}

// policyOf returns the fleet policy with the name.
func policyOf(name string) (fleet.Policy, error) {
	full := fleet.DefaultPolicy()
	if name == policyFull {
		return full, nil
	}
	if !slices.Contains(PolicyNames(), name) {
		return fleet.Policy{}, errors.Newf("no policy %q; there are %v", name, PolicyNames())
	}
	return fleet.Policy{
		Routing:          name,
		LengthQuantile:   full.LengthQuantile,
		TargetStepMillis: full.TargetStepMillis,
	}, nil
}

// writeFiles copies the operators' files of the example to the folder with
// another policy and with the given data centres out of service.
func writeFiles(example, folder string, policy fleet.Policy, outOfService []string) error {
	if err := os.RemoveAll(folder); err != nil {
		return errors.Wrap(err, "clear folder")
	}
	if err := os.CopyFS(folder, os.DirFS(example)); err != nil {
		return errors.Wrapf(err, "copy %s", example)
	}
	path := filepath.Join(folder, fleetName)
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
