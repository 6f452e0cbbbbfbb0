package explanation

import (
	"encoding/json"
	"net/http"
	"net/url"
)

// Path is the path of the handler.
const Path = "/v1/explain"

// Failure is the answer to a query that is not valid.
type Failure struct {
	Error string `json:"error"`
}

// Handler returns a handler that answers queries with explain.
func Handler(explain func(Query) Explanation) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			write(w, http.StatusMethodNotAllowed, Failure{Error: "method is not GET"})
			return
		}
		parameters, err := url.ParseQuery(r.URL.RawQuery)
		if err != nil {
			write(w, http.StatusBadRequest, Failure{Error: "query cannot be parsed: " + err.Error()})
			return
		}
		q, err := ParseQuery(parameters)
		if err != nil {
			write(w, http.StatusBadRequest, Failure{Error: err.Error()})
			return
		}
		write(w, http.StatusOK, explain(q))
	})
}

func write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
