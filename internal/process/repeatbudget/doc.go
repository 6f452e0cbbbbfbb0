// Package repeatbudget bounds the requests that a router sends to a second
// upstream. All routers together keep to one bound without talking to each
// other: each spends a share of its own requests and of a common slack.
package repeatbudget
