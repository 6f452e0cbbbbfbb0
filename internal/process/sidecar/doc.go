// Package sidecar implements the process that runs beside one upstream, which is
// an inference engine or a plain HTTP service. It queues and admits attempts,
// sends them to the upstream, and records which of them were run, so that an
// order is not run twice.
//
// Gateways and other sidecars call it over HTTP with the peer secret as bearer
// token:
//
//	POST /v1/attempts                             attempt.Attempt; answered by frames
//	GET  /v1/attempts/{id}                        attempt.Status
//	POST /v1/attempts/{id}/revoke                 attempt.Revocation; attempt.Status
//	GET  /v1/generations/{id}/frames?after=N      frames; header Flamingohold-Account
//	POST /v1/generations/{id}/acknowledge         attempt.Acknowledgement
//	POST /v1/generations/{id}/cancel
//	POST /v1/order-keys                           attempt.MintedKey
//	GET  /v1/state                                load.Report
//	GET  /v1/configuration/...                    see package configwatch
//	POST /v1/hand-overs/{slot}                    handover.Document
//	POST /v1/hand-overs/{slot}/take               handover.TakeRequest; handover.Document
//
// If an attempt is refused while it is queued, after its response stream was
// started, the stream ends with a failed frame whose problem has the outcome
// not_run.
//
// The incarnation in load reports is a binding of package ledger: it changes
// every 10 s and is valid for 15 min. Other processes must pass it on unchanged
// as bound_incarnation and must not compare it with an earlier one to detect a
// restart. The same applies to the incarnation in a minted key: only the sidecar
// interprets it.
package sidecar
