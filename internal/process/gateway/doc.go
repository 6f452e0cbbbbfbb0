// Package gateway implements the gateway process. It authenticates callers,
// applies account limits, selects an instance for each request, sends the
// request to the instance's sidecar, retries where that cannot run an order
// twice, and resumes streams whose connection was lost. It keeps no state that
// a guarantee depends on.
//
// The caller listener serves these endpoints. The account key is the bearer
// token:
//
//	POST /v1/chat/completions, /v1/completions   OpenAI-compatible, streamed or not
//	GET  /v1/models, /v1/models/{name}
//	POST /v1/order-keys?service=NAME             a new idempotency key
//	any other request for the host or path prefix of a plain service
//
// Each event of a streamed answer has an identifier. A POST or GET request to a
// completions path with the header Last-Event-ID resumes the answer after that
// event, through any gateway.
//
// The peer listener serves these endpoints. The peer secret is the bearer token:
//
//	GET  /v1/state                 load.Report
//	GET  /v1/configuration/...     see package configwatch
//	POST /v1/demand                see package quotaexchange
package gateway
