// Package plainservice is a stand-in for a plain service: an upstream that answers
// each request with one response, such as one that handles orders. It counts how
// often it has executed each request, so that tests, load runs and the
// demonstration can detect lost and duplicate executions. Delays, failures and
// freezes are injected under /admin.
package plainservice
