// Package eventstream splits a stream of server-sent events into whole events
// without changing a byte (WHATWG HTML, section 9.2).
package eventstream
