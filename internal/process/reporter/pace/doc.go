// Package pace estimates the time between two events of an engine's runs from its
// successive reports. Some engines are permanently slower than others, or are
// slowed for a short time, and their long generations exceed the gap between events
// that callers accept. The reporter publishes the estimate, and routers choose
// engines by it.
//
// Reports are polled, so that an event is seen up to one poll late. An interval is
// therefore the mean over several events of a run, and only what happens between
// two reports without a prompt that waits or is in prefill counts.
package pace
