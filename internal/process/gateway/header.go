package gateway

import (
	"net"
	"net/http"
	"slices"
	"strings"
)

// hopByHopHeaders are the header fields that apply to a single connection and are
// not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// isHopByHop reports whether the header field must not be forwarded, because it
// is in hopByHopHeaders or named by the Connection field.
func isHopByHop(name string, h http.Header) bool {
	name = http.CanonicalHeaderKey(name)
	if slices.Contains(hopByHopHeaders, name) {
		return true
	}
	for _, value := range h["Connection"] {
		for _, token := range strings.Split(value, ",") {
			if http.CanonicalHeaderKey(strings.TrimSpace(token)) == name {
				return true
			}
		}
	}
	return false
}

// upstreamHeader returns the header to send to the upstream. It omits the
// caller's account key.
func (s *session) upstreamHeader() http.Header {
	h := make(http.Header)
	for name, values := range s.request.Header {
		if !isHopByHop(name, s.request.Header) && name != "Authorization" && name != "Host" {
			h[name] = values
		}
	}
	h.Set(requestIDHeader, s.id)
	h.Set("X-Forwarded-Host", s.request.Host)
	if host, _, err := net.SplitHostPort(s.request.RemoteAddr); err == nil {
		h["X-Forwarded-For"] = append(slices.Clone(h["X-Forwarded-For"]), host)
	}
	return h
}
