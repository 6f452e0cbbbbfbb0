package deployment

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const (
	specName = "deployment.json"
	keysName = "keys.json"
	// smallGateways and smallEngines are the sizes of a deployment that only
	// shows the system.
	smallGateways = 2
	smallEngines  = 3
)

// Spec is the content of the file deployment.json beside an example's operator
// files. It is an immutable value.
type Spec struct {
	Name        string   `json:"name"`
	Region      string   `json:"region"`
	DataCentres []string `json:"data_centres"`
	// Gateways, Engines and Plains are the numbers of instances.
	Gateways      int    `json:"gateways"`
	EngineService string `json:"engine_service"`
	Model         string `json:"model"`
	ChecksFencing bool   `json:"checks_fencing"`
	Engines       int    `json:"engines"`
	PlainService  string `json:"plain_service"`
	Plains        int    `json:"plains"`
	// Account sends the requests of the demonstration.
	Account string `json:"account"`
	// OrderPath takes orders and ReadPath repeatable requests.
	OrderPath string `json:"order_path"`
	ReadPath  string `json:"read_path"`

	// folder holds the example.
	folder string
	keys   map[string]string
}

// LoadSpec reads the example in the folder.
func LoadSpec(folder string) (Spec, error) {
	s := Spec{folder: folder}
	if err := readJSON(filepath.Join(folder, specName), &s); err != nil {
		return Spec{}, err
	}
	if err := readJSON(filepath.Join(folder, keysName), &s.keys); err != nil {
		return Spec{}, err
	}
	return s, nil
}

// Small returns the deployment with few gateways and engines. Plain instances
// keep their number, because the configuration names their slots.
func (s Spec) Small() Spec {
	s.Gateways = min(s.Gateways, smallGateways)
	s.Engines = min(s.Engines, smallEngines)
	return s
}

// WithFolder returns the deployment with its operators' files in another
// folder.
func (s Spec) WithFolder(folder string) Spec {
	s.folder = folder
	return s
}

// Folder returns the folder of the operators' files.
func (s Spec) Folder() string { return s.folder }

// Keys returns the client accounts' keys by account name. The map must not be
// changed.
func (s Spec) Keys() map[string]string { return s.keys }

// dataCentre spreads instances over the data centres by their number.
func (s Spec) dataCentre(i int) string { return s.DataCentres[i%len(s.DataCentres)] }

func readJSON(path string, value any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read file")
	}
	return errors.Wrapf(json.Unmarshal(content, value), "decode %s", path)
}

func writeJSON(path string, value any) error {
	content, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "encode %s", path)
	}
	return errors.Wrap(os.WriteFile(path, append(content, '\n'), 0o600), "write file")
}
