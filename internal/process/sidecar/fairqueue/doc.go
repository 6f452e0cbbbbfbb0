// Package fairqueue holds waiting work and dequeues it fairly between client
// accounts.
//
// The order is start-time fair queueing with one flow per account. The head of
// each flow has the start tag max(virtual time, finish tag of the account's
// last work), and the head with the lowest start tag is next. The finish tag is
// the start tag plus the work's expected tokens divided by the account's
// weight. Each level of lower urgency divides the weight by 4, so that urgent
// work goes first and other work is delayed but never starved.
//
// Dynamic thresholds share the capacity: an account may hold at most four times
// the number of free entries for each unit of its weight, so that an account
// that floods the queue always leaves room for the others.
package fairqueue
