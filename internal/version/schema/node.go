package schema

import (
	"bytes"
	"encoding/json"
	"math/big"
	"strings"

	"github.com/cockroachdb/errors"
)

const referencePrefix = "#/$defs/"

// node is a JSON schema with the keywords that the defaults and the reference
// page use.
type node struct {
	Title            string           `json:"title"`
	Description      string           `json:"description"`
	Type             string           `json:"type"`
	Reference        string           `json:"$ref"`
	Enum             []string         `json:"enum"`
	Pattern          string           `json:"pattern"`
	Minimum          *json.Number     `json:"minimum"`
	ExclusiveMinimum *json.Number     `json:"exclusiveMinimum"`
	Maximum          *json.Number     `json:"maximum"`
	Required         []string         `json:"required"`
	Default          json.RawMessage  `json:"default"`
	Items            *node            `json:"items"`
	Properties       properties       `json:"properties"`
	Definitions      map[string]*node `json:"$defs"`
}

// property is a named field.
type property struct {
	name string
	node *node
}

// properties holds the fields of an object in the order of the schema, which is
// their order on the reference page.
type properties []property

// UnmarshalJSON implements json.Unmarshaler.
func (p *properties) UnmarshalJSON(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if _, err := decoder.Token(); err != nil {
		return err
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return err
		}
		text, ok := name.(string)
		if !ok {
			return errors.Newf("property name %v is not a string", name)
		}
		n := new(node)
		if err := decoder.Decode(n); err != nil {
			return err
		}
		*p = append(*p, property{text, n})
	}
	return nil
}

// names returns the names of the fields.
func (p properties) names() []string {
	var names []string
	for _, q := range p {
		names = append(names, q.name)
	}
	return names
}

// resolve returns the node to which the node refers, or the node itself if it is
// not a reference.
func (s *Schema) resolve(n *node) *node {
	if n.Reference == "" {
		return n
	}
	return s.definitions[strings.TrimPrefix(n.Reference, referencePrefix)]
}

// withDefaults returns the value with the defaults of omitted fields and with
// integers in plain digits. A value whose type does not match the schema is
// returned unchanged.
func (s *Schema) withDefaults(n *node, value any) any {
	n = s.resolve(n)
	switch v := value.(type) {
	case map[string]any:
		for _, p := range n.Properties {
			s.fill(v, p)
		}
	case []any:
		for i := range v {
			if n.Items != nil {
				v[i] = s.withDefaults(n.Items, v[i])
			}
		}
	case json.Number:
		if n.Type == "integer" {
			return plainInteger(v)
		}
	}
	return value
}

// plainInteger returns an integer such as 1e3 or 5.0 in plain digits, the only
// form that encoding/json decodes into a Go integer.
func plainInteger(number json.Number) json.Number {
	value, ok := new(big.Rat).SetString(number.String())
	if !ok || !value.IsInt() {
		return number
	}
	return json.Number(value.Num().String())
}

// fill sets the property of the object to its default if it is omitted, and adds
// the defaults within its value.
func (s *Schema) fill(object map[string]any, p property) {
	n := s.resolve(p.node)
	value, present := object[p.name]
	switch {
	case present:
		object[p.name] = s.withDefaults(n, value)
	case n.Type == "object":
		object[p.name] = s.withDefaults(n, map[string]any{})
	case n.Default != nil:
		object[p.name] = n.Default
	}
}
