// Package gateway is the process between callers and sidecars. It keeps no state
// that a guarantee depends on.
//
// Callers reach, with their account key as bearer token:
//
//	POST /v1/chat/completions, /v1/completions   OpenAI-compatible, streamed or not
//	GET  /v1/models, /v1/models/{name}
//	POST /v1/order-keys?service=NAME             a new idempotency key
//	any other request for the host or path prefix of a plain service
//
// A streamed answer carries event identifiers. A request for a generation with
// the header Last-Event-ID, by POST or GET, continues that answer through any
// gateway.
//
// Peers reach, with the peer secret:
//
//	GET  /v1/state                 load.Report
//	GET  /v1/configuration/...     see package configwatch
//	POST /v1/demand                see package quotaexchange
package gateway
