// Package sidecar is the process beside one upstream. It admits work, hands it
// to the upstream, and decides what was run.
//
// Peers call it over HTTP with the bearer secret:
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
// An attempt that was refused after its stream had begun, while it was queued,
// ends with a failed frame whose problem has the outcome not_run.
//
// The incarnation in load reports is a binding of package ledger: it changes
// every 10 s and is honoured for 15 min. Processes must pass it on unchanged as
// bound_incarnation and must not compare it with an earlier one to find a
// restart. The same holds for the incarnation in a minted key: only the sidecar
// judges it.
package sidecar
