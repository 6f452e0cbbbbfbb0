package schema_test

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/version/account"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
	"github.com/flamingohold/flamingohold/internal/version/schema"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

const documentPath = "../../../docs/configuration.md"

func newSchema(t testing.TB) *schema.Schema {
	s, err := schema.New()
	require.NoError(t, err)
	return s
}

// Guards against defaults in the schema that differ from the defaults in the
// code, and against omitted policy fields that disable a mechanism.
func TestSchemaDefaultsMatchCode(t *testing.T) {
	s := newSchema(t)
	content, faults := s.Check(schema.FleetFile, "f", []byte(`{"data_centres":[{"name":"a","region":"r","state":"in_service"}],"policy":{"subset_size":5}}`))
	require.Empty(t, faults)
	var f fleet.Fleet
	require.NoError(t, json.Unmarshal(content, &f))
	want := fleet.DefaultPolicy()
	want.SubsetSize = 5
	require.Equal(t, want, f.Policy)

	content, faults = s.Check(schema.ServiceFile, "s", []byte(`{"name":"a","kind":"engine","models":[{"name":"m","context_tokens":1}]}`))
	require.Empty(t, faults)
	var withDefaults, empty service.Service
	require.NoError(t, json.Unmarshal(content, &withDefaults))
	require.Equal(t, empty.QueueCapacity(), withDefaults.Queue.Capacity)
	require.Equal(t, empty.AdmissionTimeout().Milliseconds(), int64(withDefaults.Queue.TimeoutMillis))
	require.Equal(t, empty.Concurrency(), withDefaults.ConcurrencyLimit)
	require.InDelta(t, empty.KeyLifetime().Seconds(), withDefaults.Orders.KeyLifetimeSeconds, 0)
}

// Guards against a field in the code that operators cannot set, and against a
// field in the schema that the code ignores.
func TestSchemaFieldsMatchCode(t *testing.T) {
	var root struct {
		Definitions map[string]struct {
			Properties map[string]any `json:"properties"`
		} `json:"$defs"`
	}
	source, err := os.ReadFile("operators.schema.json")
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(source, &root))
	for definition, value := range map[string]any{
		"fleet": fleet.Fleet{}, "data_centre": fleet.DataCentre{}, "weight_store": fleet.WeightStore{}, "policy": fleet.Policy{},
		"service": service.Service{}, "model": service.Model{}, "orders": service.Orders{}, "queue": service.Queue{},
		"account": account.Account{},
	} {
		var inCode, inSchema []string
		for _, field := range reflect.VisibleFields(reflect.TypeOf(value)) {
			inCode = append(inCode, strings.Split(field.Tag.Get("json"), ",")[0])
		}
		for name := range root.Definitions[definition].Properties {
			inSchema = append(inSchema, name)
		}
		require.ElementsMatch(t, inCode, inSchema, definition)
	}
}

// Guards against a report that stops at the first fault, and against faults
// without a position or a suggestion.
func TestCheckReportsEveryFault(t *testing.T) {
	const file = `{
		"name": "hire app", "kind": "plian", "concurency_limit": 3, "queue": {"capacity": -1, "capacity": 2.5},
		"models": [{"name": "m"}], "orders": {"methods": ["post"]}, "hosts": "h"
	}`
	_, faults := newSchema(t).Check(schema.ServiceFile, "service.flamingohold.json", []byte(file))
	var lines []string
	for _, f := range faults {
		require.NotEmpty(t, f.Suggestion)
		lines = append(lines, f.String())
	}
	require.Equal(t, []string{
		`service.flamingohold.json: /concurency_limit: field "concurency_limit" is unknown (did you mean "concurrency_limit"?)`,
		`service.flamingohold.json: /hosts: the value is of type string (use a value of type array)`,
		`service.flamingohold.json: /kind: value "plian" is unknown (did you mean "plain"?)`,
		`service.flamingohold.json: /models/0: field "context_tokens" is missing (add "context_tokens")`,
		`service.flamingohold.json: /name: value "hire app" is malformed (match ^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$)`,
		`service.flamingohold.json: /orders/methods/0: value "post" is malformed (match ^[A-Z]+$)`,
		`service.flamingohold.json: /queue/capacity: the field is repeated (keep only one of them)`,
		`service.flamingohold.json: /queue/capacity: the value is of type number (use a value of type integer)`,
	}, lines)
}

// Guards against a plain service whose orders may run twice because its file
// does not state which methods are orders.
func TestPlainServiceRequiresOrderMethods(t *testing.T) {
	s := newSchema(t)
	for _, file := range []string{`{"name":"a","kind":"plain"}`, `{"name":"a","kind":"plain","orders":{}}`} {
		_, faults := s.Check(schema.ServiceFile, "f", []byte(file))
		require.Len(t, faults, 1, file)
	}
	_, faults := s.Check(schema.ServiceFile, "f", []byte(`{"name":"a","kind":"plain","orders":{"methods":[]}}`))
	require.Empty(t, faults)
}

// Guards against a syntax error that is reported without its position.
func TestSyntaxErrorHasLineNumber(t *testing.T) {
	content, faults := newSchema(t).Check(schema.FleetFile, "f", []byte("{\n  \"data_centres\": [,]\n}"))
	require.Nil(t, content)
	require.Len(t, faults, 1)
	require.Contains(t, faults[0].Reason, "line 2")
}

// Guards against a reference page that differs from the schema. UPDATE_DOCS=1
// regenerates the page.
func TestReferencePageMatchesSchema(t *testing.T) {
	page := newSchema(t).Reference()
	if os.Getenv("UPDATE_DOCS") != "" {
		require.NoError(t, os.WriteFile(documentPath, []byte(page), 0o600))
	}
	content, err := os.ReadFile(documentPath)
	require.NoError(t, err)
	require.Equal(t, page, string(content))
}

// Guards against a panic on malformed files, and against accepted content that
// cannot be decoded.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(`{"name":"a","kind":"engine"}`))
	f.Add([]byte(`{"name":"a","name":1,"orders":{"methods":["POST"]}}`))
	f.Add([]byte(`[{"a":[{}]},1e999]`))
	f.Add([]byte(`null`))
	f.Add([]byte(`{"name":"a","kind":"engine","models":[{"name":"m","context_tokens":1e3}],"concurrency_limit":5.0}`))
	s := newSchema(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		content, faults := s.Check(schema.ServiceFile, "f", data)
		if len(faults) > 0 {
			return
		}
		require.NoError(t, json.Unmarshal(content, new(service.Service)))
	})
}
