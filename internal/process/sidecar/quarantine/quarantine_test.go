package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/sidecar/quarantine"
	"github.com/flamingohold/flamingohold/pkg/orderkey"
)

const lifetime = 900 * time.Second

var (
	start = time.Unix(1_700_000_000, 0)
	rules = quarantine.Rules{Lifetime: lifetime}
)

// homeKey returns a key whose home slot under sets[i] is homes[i].
func homeKey(t *testing.T, homes []string, sets ...[]string) orderkey.Key {
	for i := range 10_000 {
		key, err := orderkey.Parse(fmt.Sprintf("key-%d", i))
		require.NoError(t, err)
		matches := true
		for j, set := range sets {
			matches = matches && key.Home(set) == homes[j]
		}
		if matches {
			return key
		}
	}
	t.Fatal("no key matches")
	return orderkey.Key{}
}

// Guards against a second run of an order that an earlier incarnation ran.
func TestKeysAreQuarantinedForOneLifetimeAfterStart(t *testing.T) {
	q := quarantine.New("a", start)
	q.SetSlots([]string{"a", "b"}, start)
	home, notBefore := q.Check(homeKey(t, []string{"a"}, []string{"a", "b"}), rules)
	require.True(t, home)
	require.Equal(t, start.Add(lifetime), notBefore)
	home, _ = q.Check(homeKey(t, []string{"b"}, []string{"a", "b"}), rules)
	require.False(t, home)
	q.RecordEarlierHolder(start.Add(time.Minute))
	require.Equal(t, start.Add(time.Minute+lifetime), q.EndsAt(rules))
}

// Guards against a second run of an order that the key's earlier home slot
// ran, and against refusing keys whose home slot did not change.
func TestMovedKeysAreQuarantined(t *testing.T) {
	old, changed := []string{"a", "b", "c"}, []string{"a", "b"}
	q := quarantine.New("a", start)
	q.TakeOver(quarantine.Snapshot{Slots: old}, start)
	q.SetSlots(old, start)
	q.SetSlots(changed, start.Add(time.Hour))
	_, notBefore := q.Check(homeKey(t, []string{"c", "a"}, old, changed), rules)
	require.Equal(t, start.Add(time.Hour+lifetime), notBefore)
	_, notBefore = q.Check(homeKey(t, []string{"a", "a"}, old, changed), rules)
	require.Zero(t, notBefore)
}

// Guards against a take-over that loses the predecessor's own quarantine or a
// change of slots before the take-over.
func TestTakeOverKeepsThePredecessorsQuarantine(t *testing.T) {
	old, changed := []string{"a", "b", "c"}, []string{"a", "b"}
	predecessor := quarantine.New("a", start)
	predecessor.SetSlots(old, start)
	predecessor.SetSlots(changed, start.Add(time.Minute))
	successor := quarantine.New("a", start.Add(2*time.Minute))
	successor.SetSlots(changed, start.Add(2*time.Minute))
	now := start.Add(3 * time.Minute)
	successor.TakeOver(predecessor.Snapshot(rules, now), now)
	stayed := homeKey(t, []string{"a", "a"}, old, changed)
	_, notBefore := successor.Check(stayed, rules)
	require.WithinDuration(t, start.Add(lifetime), notBefore, time.Second)
	_, notBefore = successor.Check(homeKey(t, []string{"c", "a"}, old, changed), rules)
	require.WithinDuration(t, start.Add(time.Minute+lifetime), notBefore, time.Second)
}

// Guards against losing an earlier slot set because there were many changes.
func TestManySlotChangesQuarantineAllKeys(t *testing.T) {
	q := quarantine.New("a", start)
	q.TakeOver(quarantine.Snapshot{Slots: []string{"a"}}, start)
	for i := range 40 {
		q.SetSlots([]string{"a", fmt.Sprintf("never-home-%d", i)}, start.Add(time.Duration(i)*time.Second))
	}
	q.SetSlots([]string{"a"}, start.Add(time.Minute))
	_, notBefore := q.Check(homeKey(t, []string{"a"}, []string{"a"}), rules)
	require.True(t, notBefore.After(start.Add(lifetime)))
}

// Guards against using a key's creation time without a bound on the error of
// callers' clocks, and against a take-over that overrides the creation time.
func TestCreationTimeCountsOnlyWithSkewBound(t *testing.T) {
	q := quarantine.New("a", start)
	q.SetSlots([]string{"a"}, start)
	withSkewBound := quarantine.Rules{Lifetime: lifetime, SkewBound: 10 * time.Second}
	for _, test := range []struct {
		created time.Duration
		rules   quarantine.Rules
		free    bool
	}{
		{11 * time.Second, withSkewBound, true},
		{9 * time.Second, withSkewBound, false},
		{11 * time.Second, rules, false},
	} {
		_, notBefore := q.Check(versionSevenKey(t, start.Add(test.created)), test.rules)
		require.Equal(t, test.free, notBefore.IsZero())
	}
	q.TakeOver(quarantine.Snapshot{Slots: []string{"a"}}, start)
	_, notBefore := q.Check(versionSevenKey(t, start), withSkewBound)
	require.False(t, notBefore.IsZero())
}

func versionSevenKey(t *testing.T, created time.Time) orderkey.Key {
	u := uuid.UUID{6: 0x70, 8: 0x80}
	millis := created.UnixMilli()
	for i := range 6 {
		u[5-i] = byte(millis >> (8 * i))
	}
	key, err := orderkey.Parse(u.String())
	require.NoError(t, err)
	return key
}
