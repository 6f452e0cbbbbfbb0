// Package ramp limits the concurrency of an upstream that has just started or
// turned cold.
//
// After a reset the limit stays at a small value until the upstream is warm:
// either its step time was seen to drop, or a given amount of work that started
// after the reset was completed. From then on the limit rises with completed
// work, and only while the upstream holds at least half of the limit, because
// completed work proves nothing about a concurrency that was not used.
//
// Evidence ages: an upstream that has completed nothing for 30 s loses half of
// the limit every 30 s, because it may have turned cold unnoticed. A process
// that was paused follows the same rule.
package ramp
