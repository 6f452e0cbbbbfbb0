package explanation

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// maxTokens bounds the sizes in a query. No model has a longer context.
	maxTokens = 100_000_000
	// maxTextBytes bounds the host, the path and the account in a query.
	maxTextBytes = 4096
)

// The parameters of a query.
const (
	hostParameter         = "host"
	pathParameter         = "path"
	accountParameter      = "account"
	promptTokensParameter = "prompt_tokens"
	outputTokensParameter = "output_tokens"
)

// Query describes the request to explain.
type Query struct {
	Host, Path string
	// Account is the name of the client account, empty for a request without a key.
	Account string
	// PromptTokens and OutputTokens are the sizes that the caller states, 0 for unknown.
	PromptTokens, OutputTokens int
}

// ParseQuery returns the query with the parameters, or an error if it is not valid.
func ParseQuery(parameters url.Values) (Query, error) {
	q := Query{}
	for name, values := range parameters {
		if len(values) != 1 {
			return Query{}, errors.Newf("parameter %q is given %d times", name, len(values))
		}
		if err := q.set(name, values[0]); err != nil {
			return Query{}, err
		}
	}
	return q, q.Validate()
}

func (q *Query) set(name, value string) error {
	var err error
	switch name {
	case hostParameter:
		q.Host = value
	case pathParameter:
		q.Path = value
	case accountParameter:
		q.Account = value
	case promptTokensParameter:
		q.PromptTokens, err = strconv.Atoi(value)
	case outputTokensParameter:
		q.OutputTokens, err = strconv.Atoi(value)
	default:
		return errors.Newf("parameter %.64q is unknown", name)
	}
	if err != nil {
		return errors.Newf("%s %.64q is not a number of tokens", name, value)
	}
	return nil
}

// Validate returns an error if the query is incomplete or out of range.
func (q Query) Validate() error {
	switch {
	case q.Host == "":
		return errors.New("host is missing")
	case q.Path == "":
		return errors.New("path is missing")
	case !strings.HasPrefix(q.Path, "/"):
		return errors.Newf("path %.64q does not begin with a slash", q.Path)
	case max(len(q.Host), len(q.Path), len(q.Account)) > maxTextBytes:
		return errors.Newf("host, path or account is longer than %d bytes", maxTextBytes)
	}
	if err := validateTokens(promptTokensParameter, q.PromptTokens); err != nil {
		return err
	}
	return validateTokens(outputTokensParameter, q.OutputTokens)
}

func validateTokens(name string, n int) error {
	if n < 0 || n > maxTokens {
		return errors.Newf("%s %d is not between 0 and %d", name, n, maxTokens)
	}
	return nil
}

// Parameters returns the parameters from which ParseQuery returns the query.
func (q Query) Parameters() url.Values {
	return url.Values{
		hostParameter: {q.Host}, pathParameter: {q.Path}, accountParameter: {q.Account},
		promptTokensParameter: {strconv.Itoa(q.PromptTokens)}, outputTokensParameter: {strconv.Itoa(q.OutputTokens)},
	}
}
