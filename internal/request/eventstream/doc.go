// Package eventstream splits a stream of server-sent events into complete events
// (WHATWG HTML, section 9.2). It returns every byte unchanged, so that a proxy
// can relay the events and yet know their identifiers.
package eventstream
