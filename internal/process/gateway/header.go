package gateway

import (
	"net"
	"net/http"
	"slices"
	"strings"
)

// hopHeaders belong to one connection (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// hopByHop reports whether the header field must not be passed on.
func hopByHop(name string, h http.Header) bool {
	name = http.CanonicalHeaderKey(name)
	if slices.Contains(hopHeaders, name) {
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

// upstreamHeader returns the header for the upstream. The caller's account key
// is not passed on.
func (s *session) upstreamHeader() http.Header {
	h := make(http.Header)
	for name, values := range s.request.Header {
		if !hopByHop(name, s.request.Header) && name != "Authorization" && name != "Host" {
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
