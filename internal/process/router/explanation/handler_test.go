package explanation

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// ask returns the status and the body of the answer to the query.
func ask(t *testing.T, method, query string) (int, string) {
	t.Helper()
	h := Handler(func(q Query) Explanation { return Explanation{Outcome: Refuse, Reason: q.Host + q.Path} })
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, httptest.NewRequest(method, Path+"?"+query, nil))
	require.Equal(t, "application/json", recorder.Header().Get("Content-Type"))
	return recorder.Code, recorder.Body.String()
}

// Guards against a query that is answered although it is not what the operator meant, and
// against an error that does not say what is wrong.
func TestInvalidQueriesAreRejected(t *testing.T) {
	const valid = "host=a&path=/x"
	for query, want := range map[string]string{
		"":                                   "host is missing",
		"path=/x":                            "host is missing",
		"host=a":                             "path is missing",
		"host=a&path=x":                      "does not begin with a slash",
		valid + "&prompt_tokens=many":        `prompt_tokens \"many\" is not a number`,
		valid + "&prompt_tokens=":            "is not a number",
		valid + "&prompt_tokens=-1":          "prompt_tokens -1 is not between",
		valid + "&output_tokens=100000001":   "output_tokens 100000001 is not between",
		valid + "&output_tokens=1e3":         "is not a number",
		valid + "&host=b":                    "is given 2 times",
		valid + "&key=secret":                `parameter \"key\" is unknown`,
		valid + "&account=%zz":               "query cannot be parsed",
		valid + strings.Repeat("x", 5000):    "is longer than",
		valid + "&" + strings.Repeat("k", 9): "is unknown",
	} {
		status, body := ask(t, http.MethodGet, query)
		require.Equal(t, http.StatusBadRequest, status, query)
		require.Contains(t, body, want)
		var f Failure
		require.NoError(t, json.Unmarshal([]byte(body), &f))
		require.NotEmpty(t, f.Error)
	}
	status, _ := ask(t, http.MethodPost, valid)
	require.Equal(t, http.StatusMethodNotAllowed, status)
	status, body := ask(t, http.MethodGet, valid)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `"reason":"a/x"`)
}

// Guards against a command that asks about another request than its flags describe.
func TestParametersAreParsedBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Query{
			Host: rapid.StringN(1, 20, 60).Draw(t, "host"), Path: "/" + rapid.StringN(0, 20, 60).Draw(t, "path"), Account: rapid.StringN(0, 20, 60).Draw(t, "account"),
			PromptTokens: rapid.IntRange(0, maxTokens).Draw(t, "prompt"), OutputTokens: rapid.IntRange(0, maxTokens).Draw(t, "output"),
		}
		parsed, err := ParseQuery(q.Parameters())
		require.NoError(t, err)
		require.Equal(t, q, parsed)
	})
}
