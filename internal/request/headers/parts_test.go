package headers_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/request/headers"
)

// Guards against counting a request's own part of the prompt among the shared ones.
func TestSharedPartsOmitTheLast(t *testing.T) {
	names := headers.Names{PromptPrefix: "Parts"}
	for value, want := range map[string][]string{
		"5c1e:800, 91bd:410,e440:250": {"5c1e", "91bd"},
		"5c1e:800":                    {},
		"":                            {},
		"a:1,,b:2,":                   {"a", "b"},
	} {
		require.Equal(t, want, names.SharedParts(http.Header{"Parts": {value}}), value)
	}
}
