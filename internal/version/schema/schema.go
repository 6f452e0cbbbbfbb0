package schema

import (
	"bytes"
	_ "embed" // embeds the schema file
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Names of the operators' files.
const (
	FleetFile    = "fleet.flamingohold.json"
	AccountsFile = "accounts.flamingohold.json"
	ServiceFile  = "service.flamingohold.json"
	// FileSuffix is the end of the name of every operators' file.
	FileSuffix = ".flamingohold.json"
)

const resource = "operators.schema.json"

//go:embed operators.schema.json
var source []byte

// Schema checks operators' files. It is safe for concurrent use.
type Schema struct {
	// validators maps each file name to its compiled schema, and definitions maps
	// each definition name to its node.
	validators  map[string]*jsonschema.Schema
	definitions map[string]*node
}

// definitionOf returns the name of a file's definition in the schema.
func definitionOf(name string) string {
	return map[string]string{FleetFile: "fleet", AccountsFile: "accounts", ServiceFile: "service"}[name]
}

// FileNames returns the names of the operators' files.
func FileNames() []string { return []string{FleetFile, AccountsFile, ServiceFile} }

// New compiles the embedded schema.
func New() (*Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(source))
	if err != nil {
		return nil, errors.Wrap(err, "read schema")
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(resource, document); err != nil {
		return nil, errors.Wrap(err, "read schema")
	}
	s := &Schema{validators: make(map[string]*jsonschema.Schema)}
	for _, name := range FileNames() {
		s.validators[name], err = compiler.Compile(resource + referencePrefix + definitionOf(name))
		if err != nil {
			return nil, errors.Wrapf(err, "compile schema of %s", name)
		}
	}
	var root node
	if err := json.Unmarshal(source, &root); err != nil {
		return nil, errors.Wrap(err, "read schema")
	}
	s.definitions = root.Definitions
	return s, nil
}

// Check returns the content of a file with the defaults of omitted fields, and
// every fault in it. The content is nil if the file is not valid JSON. The name
// is one of FileNames. The path is used only to name the file in faults.
func (s *Schema) Check(name, path string, data []byte) ([]byte, []Fault) {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, []Fault{syntaxFault(path, data, err)}
	}
	faults := repeatedFields(path, data)
	var invalid *jsonschema.ValidationError
	if err := s.validators[name].Validate(value); errors.As(err, &invalid) {
		faults = append(faults, s.faults(path, invalid)...)
	}
	sortFaults(faults)
	content, err := json.Marshal(s.withDefaults(s.definitions[definitionOf(name)], value))
	if err != nil {
		return nil, append(faults, Fault{path, "", err.Error(), "see docs/configuration.md"})
	}
	return content, faults
}

func syntaxFault(path string, data []byte, err error) Fault {
	offset := int64(len(data))
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	return Fault{path, "", fmt.Sprintf("the file is not valid JSON at %s: %v", position(data, offset), err), "correct the syntax"}
}

// repeatedFields returns a fault for each repeated field of an object. JSON
// decoders silently keep only one of the values.
func repeatedFields(path string, data []byte) []Fault {
	decoder := json.NewDecoder(bytes.NewReader(data))
	var faults []Fault
	_ = walkValue(decoder, nil, func(at []string) {
		faults = append(faults, Fault{path, pointer(at), "the field is repeated", "keep only one of them"})
	})
	return faults
}

// walkValue reads the value whose path is at, and calls repeated with the path of
// each repeated field in it.
func walkValue(decoder *json.Decoder, at []string, repeated func([]string)) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		err = walkObject(decoder, at, repeated)
	case json.Delim('['):
		err = walkArray(decoder, at, repeated)
	}
	return err
}

func walkObject(decoder *json.Decoder, at []string, repeated func([]string)) error {
	seen := make(map[string]bool)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		name := fmt.Sprint(token)
		inner := append(at[:len(at):len(at)], name)
		if seen[name] {
			repeated(inner)
		}
		seen[name] = true
		if err := walkValue(decoder, inner, repeated); err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return err
}

func walkArray(decoder *json.Decoder, at []string, repeated func([]string)) error {
	for i := 0; decoder.More(); i++ {
		if err := walkValue(decoder, append(at[:len(at):len(at)], strconv.Itoa(i)), repeated); err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return err
}
