package headers

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Names holds the names of the header fields on the wire.
type Names struct {
	// RequestID holds the identifier of a caller's request, which upstreams repeat
	// in the answer.
	RequestID string
	// Deadline holds the time until the caller's deadline in milliseconds.
	Deadline string
	// Account holds the client account, for upstreams.
	Account string
	// ExpectUpstream holds the identifier of the upstream that a request is meant
	// for; any other refuses it with status 421.
	ExpectUpstream string
	// NotRun marks an answer of an upstream that has not run the request.
	NotRun string
	// Seal holds an upstream's signature of its answer.
	Seal string
	// TokenCounts holds the number of prompt tokens and the limit on output
	// tokens, separated by a comma.
	TokenCounts string
	// LengthHint holds the caller's estimate of the number of output tokens.
	LengthHint string
	// PromptPrefix lists the parts of the prompt.
	PromptPrefix string
	// LastEventID holds the identifier of the last event that the caller has
	// received.
	LastEventID string
	// KVSource names the copy of a generation's memory from which an upstream
	// continues.
	KVSource string
	// KVBackup names the upstream that keeps a copy of a generation's memory.
	KVBackup string
	// RateLimit holds the number of requests a second that an upstream accepts from
	// all routers together, as a decimal number.
	RateLimit string
	// Leaving marks an answer of an upstream that is about to stop.
	Leaving string
	// Priority holds the rank of a request among those that wait at an engine, 0 for
	// the most urgent.
	Priority string
	// Reserved are the names of further fields that a caller must not set.
	Reserved []string
}

// authorization is the field with the key of a client account.
const authorization = "Authorization"

// hopByHop lists the fields that apply to one connection only (RFC 9110, section
// 7.6.1), and the fields that package upstreamclient sets itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Proxy-Authenticate", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host",
}

// EndToEnd returns a copy without the fields that apply to one connection only.
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

// Forward returns the fields of a caller's request that are sent to an upstream.
func (n *Names) Forward(h http.Header) http.Header {
	// EndToEnd drops the fields that Connection lists, but the fields that
	// describe the request itself must be forwarded in any case.
	kept := EndToEnd(h)
	for _, name := range []string{n.RequestID, n.Deadline, n.TokenCounts, n.LengthHint, n.PromptPrefix, n.LastEventID} {
		if values := h.Values(name); len(values) > 0 {
			kept[http.CanonicalHeaderKey(name)] = values
		}
	}
	kept.Del(authorization)
	kept.Del(n.Account)
	kept.Del(n.ExpectUpstream)
	kept.Del(n.NotRun)
	kept.Del(n.Seal)
	kept.Del(n.KVSource)
	kept.Del(n.KVBackup)
	kept.Del(n.Priority)
	for _, name := range n.Reserved {
		kept.Del(name)
	}
	return kept
}

// Key returns the client account's key, which is the bearer token of the request,
// or an empty string if there is none.
func Key(h http.Header) string {
	scheme, key, found := strings.Cut(h.Get(authorization), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// TimeLeft returns the time until the caller's deadline, and false if the request
// has no valid deadline.
func (n *Names) TimeLeft(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(strings.TrimSpace(h.Get(n.Deadline)), 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// SetTimeLeft sets the time until the caller's deadline, at least 1 ms.
func (n *Names) SetTimeLeft(h http.Header, left time.Duration) {
	h.Set(n.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
}

// SetPriority sets the rank of the request at an engine, from 0 for the most urgent.
func (n *Names) SetPriority(h http.Header, rank int) { h.Set(n.Priority, strconv.Itoa(rank)) }

// StatedLimit returns the number of requests a second that the upstream states to
// accept, and false if the answer states none. The value must be a non-negative
// decimal number.
func (n *Names) StatedLimit(h http.Header) (perSecond float64, stated bool, err error) {
	text := strings.TrimSpace(h.Get(n.RateLimit))
	if n.RateLimit == "" || text == "" {
		return 0, false, nil
	}
	perSecond, err = strconv.ParseFloat(text, 64)
	if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 1) {
		return 0, false, errors.Newf("%s is %q, not a non-negative number", n.RateLimit, text)
	}
	return perSecond, true, nil
}

// AnsweredID returns the identifier of the request that the answer names, empty for
// none.
func (n *Names) AnsweredID(h http.Header) string { return h.Get(n.RequestID) }

// StatesLeaving reports whether the upstream states that it is about to stop.
func (n *Names) StatesLeaving(h http.Header) (bool, error) {
	text := strings.TrimSpace(h.Get(n.Leaving))
	if n.Leaving == "" || text == "" {
		return false, nil
	}
	leaving, err := strconv.ParseBool(text)
	return leaving, errors.Wrapf(err, "decode %s", n.Leaving)
}

// retryAfter holds the time after which a request may be sent again: seconds, which may
// be a fraction, or a date (RFC 9110, section 10.2.3).
const retryAfter = "Retry-After"

// RetryAfter returns the time for which the sender of a refusal wants no further
// request, 0 if it states none. A time that exceeds every Duration is returned as the
// longest one. A date counts from the sender's own clock, which must be stated too.
func RetryAfter(h http.Header) (time.Duration, error) {
	text := strings.TrimSpace(h.Get(retryAfter))
	if text == "" {
		return 0, nil
	}
	if end, err := http.ParseTime(text); err == nil {
		sent, err := http.ParseTime(h.Get("Date"))
		if err != nil {
			return 0, errors.Wrapf(err, "decode Date beside %s", retryAfter)
		}
		return max(0, end.Sub(sent)), nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil && !errors.Is(err, strconv.ErrRange), math.IsNaN(seconds), seconds < 0:
		return 0, errors.Newf("%s is %q, neither a non-negative number nor a date", retryAfter, text)
	case seconds >= math.MaxInt64/float64(time.Second):
		return math.MaxInt64, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// Sizes are the sizes of a generation in tokens as its request states them, 0 for
// unknown.
type Sizes struct {
	Prompt int
	// Output is the caller's estimate, which may be far off; MaxOutput bounds it.
	Output, MaxOutput int
}

// Tokens returns the sizes of the generation. Without a lower hint, Output is
// MaxOutput.
func (n *Names) Tokens(h http.Header) Sizes {
	prompt, output, _ := strings.Cut(h.Get(n.TokenCounts), ",")
	s := Sizes{Prompt: count(prompt), MaxOutput: count(output)}
	s.Output = s.MaxOutput
	if hint := count(h.Get(n.LengthHint)); hint > 0 && (s.MaxOutput == 0 || hint < s.MaxOutput) {
		s.Output = hint
	}
	return s
}

// SharedParts returns the identifiers of the parts of the prompt that other
// requests may share: all but the last, which belongs to the request or to its
// session.
func (n *Names) SharedParts(h http.Header) []string {
	parts := strings.Split(h.Get(n.PromptPrefix), ",")
	shared := make([]string, 0, len(parts)-1)
	for _, part := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		if id != "" {
			shared = append(shared, id)
		}
	}
	return shared
}

// count returns the non-negative number in the text, or 0 if there is none.
func count(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
