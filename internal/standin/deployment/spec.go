package deployment

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const (
	specFile = "deployment.json"
	keysFile = "keys.json"
	// smallGateways and smallEngines are the numbers of processes in a
	// deployment for a demonstration.
	smallGateways = 2
	smallEngines  = 3
)

// Spec describes a deployment. It is the content of the file deployment.json beside
// the operators' files of an example. A Spec is immutable.
type Spec struct {
	Name        string   `json:"name"`
	Region      string   `json:"region"`
	DataCentres []string `json:"data_centres"`
	// Gateways, Engines and PlainInstances are the numbers of gateways, engine
	// instances and plain-service instances.
	Gateways      int    `json:"gateways"`
	EngineService string `json:"engine_service"`
	Model         string `json:"model"`
	// ChecksFencing makes the engines refuse control requests with a stale fencing
	// number.
	ChecksFencing  bool   `json:"checks_fencing"`
	Engines        int    `json:"engines"`
	PlainService   string `json:"plain_service"`
	PlainInstances int    `json:"plains"`
	// Account is the client account that sends the requests of the demonstration.
	Account string `json:"account"`
	// OrderPath is the path of non-repeatable requests (orders), ReadPath the path
	// of repeatable ones.
	OrderPath string `json:"order_path"`
	ReadPath  string `json:"read_path"`

	// folder contains the operators' files.
	folder string
	// keys are the keys of the client accounts by account name.
	keys map[string]string
}

// LoadSpec reads the specification and the keys of the example in the folder.
func LoadSpec(folder string) (Spec, error) {
	s := Spec{folder: folder}
	if err := readJSON(filepath.Join(folder, specFile), &s); err != nil {
		return Spec{}, err
	}
	if err := readJSON(filepath.Join(folder, keysFile), &s.keys); err != nil {
		return Spec{}, err
	}
	return s, nil
}

// Small returns the specification with at most 2 gateways and 3 engines. The
// number of plain-service instances stays, because the configuration names their
// slots.
func (s Spec) Small() Spec {
	s.Gateways = min(s.Gateways, smallGateways)
	s.Engines = min(s.Engines, smallEngines)
	return s
}

// WithFolder returns the specification with the operators' files in another
// folder.
func (s Spec) WithFolder(folder string) Spec {
	s.folder = folder
	return s
}

// Folder returns the folder of the operators' files.
func (s Spec) Folder() string { return s.folder }

// Keys returns the keys of the client accounts by account name. The map must not
// be modified.
func (s Spec) Keys() map[string]string { return s.keys }

// dataCentre returns the data centre of instance i. Instances are assigned to the
// data centres in turn.
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
