package gatewayclient_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/standin/engine"
	"github.com/flamingohold/flamingohold/internal/standin/gatewayclient"
)

// event returns the server-sent event with one token, as the gateway sends it.
func event(requestID, prompt string, number int) string {
	return fmt.Sprintf("id: g:%d\ndata: {\"choices\":[{\"text\":%q}]}\n\n",
		number, engine.TokenText(requestID, prompt, number))
}

const (
	// usage is the last chunk of an answer of three tokens. Its text is empty, but
	// the client counts the chunk as a token.
	usage = "data: {\"choices\":[{\"text\":\"\"}],\"usage\":{\"completion_tokens\":3}}\n\n"
	done  = "data: [DONE]\n\n"
)

// Guards against a load run that reports no fault for a damaged answer.
func TestStreamFindsFaults(t *testing.T) {
	good := event("r", "p", 1) + event("r", "p", 2)
	for name, test := range map[string]struct {
		stream    string
		want      gatewayclient.Faults
		truncated bool
	}{
		"complete":           {good + usage + done, gatewayclient.Faults{}, false},
		"lost":               {event("r", "p", 1) + event("r", "p", 3) + done, gatewayclient.Faults{Lost: 1}, true},
		"duplicated":         {good + event("r", "p", 2) + usage + done, gatewayclient.Faults{Duplicated: 1}, false},
		"wrong prompt":       {good + event("r", "other", 3) + usage + done, gatewayclient.Faults{WrongPrompt: true}, false},
		"mixed generations":  {good + event("r2", "p", 3) + usage + done, gatewayclient.Faults{MixedGenerations: true}, false},
		"truncated":          {event("r", "p", 1) + usage + done, gatewayclient.Faults{}, true},
		"without end marker": {good, gatewayclient.Faults{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprint(w, test.stream)
			}))
			defer server.Close()
			target := gatewayclient.Target{Gateway: strings.TrimPrefix(server.URL, "http://")}
			answer, err := gatewayclient.New().Stream(t.Context(), target, gatewayclient.Prompt{Text: "p"}, nil)
			require.NoError(t, err)
			require.Equal(t, test.want, answer.Faults)
			require.Equal(t, test.truncated, answer.Truncated())
		})
	}
}
