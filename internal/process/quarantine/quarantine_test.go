package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/quarantine"
	"github.com/flamingohold/flamingohold/pkg/orderkey"
)

const lifetime = 900 * time.Second

var (
	start = time.Unix(1_700_000_000, 0)
	rules = quarantine.Rules{Lifetime: lifetime}
)

// homeKey returns a key whose home under each set is the slot given for it.
func homeKey(t *testing.T, homes []string, sets ...[]string) orderkey.Key {
	for i := range 10_000 {
		key, err := orderkey.Parse(fmt.Sprintf("key-%d", i))
		require.NoError(t, err)
		fits := true
		for j, set := range sets {
			fits = fits && key.Home(set) == homes[j]
		}
		if fits {
			return key
		}
	}
	t.Fatal("no key fits")
	return orderkey.Key{}
}

// Guards against a second run of an order that an earlier incarnation ran.
func TestStartBarsKeysForOneLifetime(t *testing.T) {
	q := quarantine.New("a", start)
	q.SetSlots([]string{"a", "b"}, start)
	home, notBefore := q.Judge(homeKey(t, []string{"a"}, []string{"a", "b"}), rules)
	require.True(t, home)
	require.Equal(t, start.Add(lifetime), notBefore)
	home, _ = q.Judge(homeKey(t, []string{"b"}, []string{"a", "b"}), rules)
	require.False(t, home)
	q.Overlap(start.Add(time.Minute))
	require.Equal(t, start.Add(time.Minute+lifetime), q.Ends(rules))
}

// Guards against a second run of an order that the key's former home ran, and
// against barring the keys that did not move.
func TestMovedKeysAreBarred(t *testing.T) {
	old, changed := []string{"a", "b", "c"}, []string{"a", "b"}
	q := quarantine.New("a", start)
	q.TakeOver(quarantine.Snapshot{Slots: old}, start)
	q.SetSlots(old, start)
	q.SetSlots(changed, start.Add(time.Hour))
	_, notBefore := q.Judge(homeKey(t, []string{"c", "a"}, old, changed), rules)
	require.Equal(t, start.Add(time.Hour+lifetime), notBefore)
	_, notBefore = q.Judge(homeKey(t, []string{"a", "a"}, old, changed), rules)
	require.Zero(t, notBefore)
}

// Guards against a take-over that forgets the predecessor's own quarantine or a
// change of slots before the take-over.
func TestTakeOverKeepsThePredecessorsBars(t *testing.T) {
	old, changed := []string{"a", "b", "c"}, []string{"a", "b"}
	first := quarantine.New("a", start)
	first.SetSlots(old, start)
	first.SetSlots(changed, start.Add(time.Minute))
	second := quarantine.New("a", start.Add(2*time.Minute))
	second.SetSlots(changed, start.Add(2*time.Minute))
	now := start.Add(3 * time.Minute)
	second.TakeOver(first.Snapshot(rules, now), now)
	stayed := homeKey(t, []string{"a", "a"}, old, changed)
	_, notBefore := second.Judge(stayed, rules)
	require.WithinDuration(t, start.Add(lifetime), notBefore, time.Second)
	_, notBefore = second.Judge(homeKey(t, []string{"c", "a"}, old, changed), rules)
	require.WithinDuration(t, start.Add(time.Minute+lifetime), notBefore, time.Second)
}

// Guards against a slot set that is forgotten because there were many changes.
func TestManyChangesBarAllKeys(t *testing.T) {
	q := quarantine.New("a", start)
	q.TakeOver(quarantine.Snapshot{Slots: []string{"a"}}, start)
	for i := range 40 {
		q.SetSlots([]string{"a", fmt.Sprintf("never-home-%d", i)}, start.Add(time.Duration(i)*time.Second))
	}
	q.SetSlots([]string{"a"}, start.Add(time.Minute))
	_, notBefore := q.Judge(homeKey(t, []string{"a"}, []string{"a"}), rules)
	require.True(t, notBefore.After(start.Add(lifetime)))
}

// Guards against trust in a caller's clock that operators did not allow, and
// against a take-over that overrides the creation time.
func TestCreationTimeOfKeys(t *testing.T) {
	q := quarantine.New("a", start)
	q.SetSlots([]string{"a"}, start)
	trusting := quarantine.Rules{Lifetime: lifetime, SkewBound: 10 * time.Second}
	for _, test := range []struct {
		created time.Duration
		rules   quarantine.Rules
		free    bool
	}{
		{11 * time.Second, trusting, true},
		{9 * time.Second, trusting, false},
		{11 * time.Second, rules, false},
	} {
		_, notBefore := q.Judge(versionSeven(t, start.Add(test.created)), test.rules)
		require.Equal(t, test.free, notBefore.IsZero())
	}
	q.TakeOver(quarantine.Snapshot{Slots: []string{"a"}}, start)
	_, notBefore := q.Judge(versionSeven(t, start), trusting)
	require.False(t, notBefore.IsZero())
}

func versionSeven(t *testing.T, created time.Time) orderkey.Key {
	u := uuid.UUID{6: 0x70, 8: 0x80}
	millis := created.UnixMilli()
	for i := range 6 {
		u[5-i] = byte(millis >> (8 * i))
	}
	key, err := orderkey.Parse(u.String())
	require.NoError(t, err)
	return key
}
