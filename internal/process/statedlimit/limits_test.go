package statedlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	upstream = Upstream{ID: "u", Incarnation: 1}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a limit that an answer from before it lifts, and one that stays although answers no longer state it.
func TestOnlyLaterAnswersLiftALimit(t *testing.T) {
	var changes []Change
	l := New(func(c Change) { changes = append(changes, c) })
	l.Observe(Statement{Upstream: upstream, SentAt: at(0)}, at(10))
	require.Empty(t, changes, "an answer without a limit changes nothing")
	l.Observe(Statement{Upstream: upstream, Limited: true, PerSecond: 4.1, SentAt: at(0)}, at(20))
	l.Observe(Statement{Upstream: upstream, Limited: true, PerSecond: 4.1, SentAt: at(25)}, at(30))
	l.Observe(Statement{Upstream: upstream, SentAt: at(29)}, at(40))
	require.Equal(t, []Change{{Upstream: upstream, Limited: true, PerSecond: 4.1, Version: 1}}, changes)
	l.Observe(Statement{Upstream: upstream, SentAt: at(30)}, at(50))
	require.Equal(t, Change{Upstream: upstream, Version: 2}, changes[1])
}
