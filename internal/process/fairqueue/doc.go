// Package fairqueue holds waiting work and hands it out fairly between client
// accounts.
//
// Fair order is start-time fair queueing: the head of each account's line has
// the start tag max(virtual time, finish tag of the account's last work), and
// the lowest start tag is next. The finish tag is the start tag plus the
// work's expected tokens divided by the account's weight. Each step of lower
// urgency divides the weight by 4, so that urgent work goes first and other
// work is delayed but never starved.
//
// The capacity is shared by dynamic thresholds: an account may hold at most
// four times the free entries for each unit of its weight, so that an account
// that floods the queue always leaves room for the others.
package fairqueue
