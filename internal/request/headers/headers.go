package headers

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Names holds the names of the header fields on the wire.
type Names struct {
	// RequestID identifies one request of a caller; upstreams repeat it.
	RequestID string
	// Deadline holds the milliseconds that the caller still waits.
	Deadline string
	// Account tells an upstream the client account.
	Account string
	// ExpectUpstream names the upstream that a request is meant for; any other
	// refuses it with status 421.
	ExpectUpstream string
	// NotRun marks an answer of an upstream that has not run the request.
	NotRun string
	// Seal is an upstream's signature of its answer.
	Seal string
	// TokenCounts holds the tokens of the prompt and the most of the output.
	TokenCounts string
	// LengthHint is the caller's estimate of the tokens of the output.
	LengthHint string
	// PromptParts lists the parts of the prompt.
	PromptParts string
	// LastEventID is the last event that the caller has.
	LastEventID string
	// CopiedFrom names the copy of a generation's memory to go on from.
	CopiedFrom string
	// Backup names the upstream that keeps a copy of a generation's memory.
	Backup string
	// Reserved are further fields that a caller must not set.
	Reserved []string
}

// authorization is the field with the key of a client account.
const authorization = "Authorization"

// hopByHop lists the fields that concern one connection (RFC 9110, 7.6.1), and
// those that the exchange sets itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// EndToEnd returns a copy without the fields that concern one connection.
func EndToEnd(h http.Header) http.Header {
	kept := h.Clone()
	if kept == nil {
		return http.Header{}
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}

// Forward returns the fields of a caller's request that an upstream gets.
func (n *Names) Forward(h http.Header) http.Header {
	// A field that Connection names is dropped, but those of the request's own
	// meaning stay.
	kept := EndToEnd(h)
	for _, name := range []string{n.RequestID, n.Deadline, n.TokenCounts, n.LengthHint, n.PromptParts, n.LastEventID} {
		if values := h.Values(name); len(values) > 0 {
			kept[http.CanonicalHeaderKey(name)] = values
		}
	}
	kept.Del(authorization)
	kept.Del(n.Account)
	kept.Del(n.ExpectUpstream)
	kept.Del(n.NotRun)
	kept.Del(n.Seal)
	kept.Del(n.CopiedFrom)
	kept.Del(n.Backup)
	for _, name := range n.Reserved {
		kept.Del(name)
	}
	return kept
}

// Key returns the key of the client account that the request bears.
func Key(h http.Header) string {
	scheme, key, found := strings.Cut(h.Get(authorization), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// TimeLeft returns how long the caller waits, false if it does not say.
func (n *Names) TimeLeft(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(strings.TrimSpace(h.Get(n.Deadline)), 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// SetTimeLeft tells an upstream how long the caller still waits.
func (n *Names) SetTimeLeft(h http.Header, left time.Duration) {
	h.Set(n.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
}

// Sizes are the sizes of a generation in tokens by its request's own word, 0 for
// unknown.
type Sizes struct {
	Prompt int
	// Output is the caller's estimate, which may be far off; MaxOutput bounds it.
	Output, MaxOutput int
}

// Tokens returns the sizes of the generation.
func (n *Names) Tokens(h http.Header) Sizes {
	prompt, output, _ := strings.Cut(h.Get(n.TokenCounts), ",")
	s := Sizes{Prompt: count(prompt), MaxOutput: count(output)}
	s.Output = s.MaxOutput
	if hint := count(h.Get(n.LengthHint)); hint > 0 && (s.MaxOutput == 0 || hint < s.MaxOutput) {
		s.Output = hint
	}
	return s
}

// count returns the number in the text, 0 if it holds none.
func count(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
