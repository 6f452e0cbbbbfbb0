// Package refusallog counts the requests that a listener refuses before a handler sees
// them, by reason, and logs them with a bounded number of lines: callers that the
// operator does not control cause the refusals, and could flood the log. All processes
// use it.
package refusallog
