// Package ramp implements the slow start of an upstream: it limits the
// concurrency of an upstream that has just started or become cold.
//
// After a reset the limit stays low until the upstream is warm. It counts as
// warm once a drop of its step time was detected, or once a given amount of work
// that started after the reset was completed. The limit then rises with
// completed work, but only while at least half of the limit is in use, because
// completed work is no evidence for a concurrency that was not used.
//
// Evidence expires: the limit of an upstream that has completed nothing is
// halved every 30 s, because the upstream may have become cold undetected. The
// same rule applies after this process was paused.
package ramp
