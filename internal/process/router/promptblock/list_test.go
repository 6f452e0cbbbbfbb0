package promptblock_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/process/router/promptblock"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newList() *promptblock.List { return promptblock.New(func(promptblock.Change) {}) }

func always([]string) bool { return true }

func never([]string) bool { return false }

// crash records the end of the numbered engine under a prompt, at a time in
// seconds.
func crash(l *promptblock.List, engine int, seconds float64, parts ...string) {
	l.RecordCrash(promptblock.Crash{Upstream: fmt.Sprintf("engine-%d", engine), Incarnation: 1, Parts: parts, At: at(seconds)})
}

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func refused(l *promptblock.List, seconds float64, parts ...string) bool {
	return l.Decide(parts, never, at(seconds)).Refused
}

// Guards against a prompt that ends one engine after the other, and against refusing sound prompts that share its other parts.
func TestPartOfSeparateCrashesIsBlocked(t *testing.T) {
	l := newList()
	for n := range 3 {
		require.False(t, refused(l, float64(n), "common", "harmful"))
		crash(l, n, float64(n), "common", "harmful")
		l.RecordSuccess([]string{"common", "sound"}, at(float64(n)+0.1))
	}
	require.True(t, refused(l, 3, "common", "harmful"))
	require.True(t, refused(l, 3, "other", "harmful"))
	require.False(t, refused(l, 3, "common", "sound"))
	require.False(t, refused(l, 3, "common"))
	require.False(t, refused(l, 3))
}

// Guards against blocking prompts when many engines end at once for another reason.
func TestSimultaneousCrashesAreOne(t *testing.T) {
	l := newList()
	for n := range 20 {
		crash(l, n, float64(n)*0.01, "common", fmt.Sprint(n))
	}
	require.False(t, refused(l, 1, "common"))
}

// Guards against blocking a part for crashes that happened before it was seen to be sound.
func TestSuccessClearsPart(t *testing.T) {
	l := newList()
	for n := range 3 {
		crash(l, n, float64(n), "common")
	}
	require.True(t, refused(l, 3, "common"))
	l.RecordSuccess([]string{"common"}, at(4))
	require.False(t, refused(l, 4, "common"))
	crash(l, 7, 5, "common")
	require.False(t, refused(l, 5, "common"))
}

// Guards against refusing a sound part that was used only together with the harmful one so far.
func TestPartNeverSeenAloneIsTriedAlone(t *testing.T) {
	l := newList()
	for n := range 4 {
		crash(l, n, float64(n), "rare", "harmful")
	}
	require.True(t, refused(l, 4, "rare", "harmful"))
	require.False(t, refused(l, 4, "rare"), "no crash shows that this part suffices")
	require.True(t, refused(l, 4.1, "rare"), "one trial at a time")
	l.RecordSuccess([]string{"rare"}, at(4.2))
	require.False(t, refused(l, 4.2, "rare"))
	require.True(t, refused(l, 4.2, "rare", "harmful"))
	require.True(t, refused(l, 4.2, "harmful"))
}

// Guards against blocking the part that all prompts share instead of the harmful one.
func TestProvenPartIsNotBlockedWithUnproven(t *testing.T) {
	l := newList()
	l.RecordSuccess([]string{"common"}, at(0))
	for n := range 4 {
		crash(l, n, 1+0.4*float64(n), "common", "harmful")
	}
	d := l.Decide([]string{"common", "harmful"}, never, at(3))
	require.Equal(t, []string{"harmful"}, d.Blocked)
	require.True(t, d.Refused)
	require.False(t, refused(l, 3, "common"))
}

// Guards against a part that became harmful after it had been sound.
func TestPartThatBecomesHarmfulIsBlocked(t *testing.T) {
	l := newList()
	l.RecordSuccess([]string{"common", "changed"}, at(0))
	for n := range 4 {
		crash(l, n, float64(n)+1, "common", "changed")
		l.RecordSuccess([]string{"common"}, at(float64(n)+1.1))
	}
	require.True(t, refused(l, 6, "common", "changed"))
	require.False(t, refused(l, 6, "common"))
}

// Guards against a part that stays blocked forever, and against trials that end engines often.
func TestBlockedPartIsTriedAgainLessAndLessOften(t *testing.T) {
	l := newList()
	engine := 0
	end := func(seconds float64) { crash(l, engine, seconds, "harmful"); engine++ }
	for range 3 {
		end(float64(engine))
	}
	trials := 0
	for seconds := 3.0; seconds < 3600; seconds += 0.5 {
		if !l.Decide([]string{"harmful"}, always, at(seconds)).Refused {
			trials++
			end(seconds)
		}
	}
	require.GreaterOrEqual(t, trials, 8)
	require.LessOrEqual(t, trials, 12)
	d := l.Decide([]string{"harmful"}, never, at(3600))
	require.True(t, d.Refused, "another router tries")
	require.Positive(t, d.RetryAfter)
}

// Guards against repeating a request at another engine that has ended two.
func TestRequestThatEndedTwoEnginesIsNotRepeated(t *testing.T) {
	l := newList()
	crash(l, 1, 1, "harmful")
	require.True(t, l.MayRepeat([]string{"harmful"}, at(1)))
	crash(l, 2, 2, "harmful")
	require.False(t, l.MayRepeat([]string{"harmful"}, at(2)))
}

// Guards against routers that decide differently after they have told each other all, in any order and repeatedly.
func TestSharedEvidenceConverges(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, seed))
		lists := []*promptblock.List{newList(), newList(), newList()}
		seconds := 0.0
		share := func(from, to *promptblock.List) {
			shared, _ := from.Evidence(at(seconds))
			to.Merge(shared, at(seconds+0.02))
		}
		for n := range 60 {
			seconds += random.Float64()
			l := lists[random.IntN(3)]
			switch random.IntN(3) {
			case 0:
				crash(l, n, seconds, "common", fmt.Sprint(random.IntN(3)), "harmful")
			case 1:
				l.RecordSuccess([]string{"common", fmt.Sprint(random.IntN(3))}, at(seconds))
			default:
				share(l, lists[random.IntN(3)])
			}
		}
		for range 2 {
			for _, from := range lists {
				for _, to := range lists {
					share(from, to)
				}
			}
		}
		_, digest := lists[0].Evidence(at(seconds))
		for _, l := range lists {
			_, other := l.Evidence(at(seconds))
			require.Equal(t, digest, other, "seed %d", seed)
			require.True(t, refused(l, seconds, "common", "harmful"), "seed %d", seed)
		}
	}
}

// Guards against evidence without bounds.
func TestEvidenceIsBounded(t *testing.T) {
	l := newList()
	for n := range 1000 {
		crash(l, n, float64(n), "common", fmt.Sprint(n))
	}
	shared, _ := l.Evidence(at(1000))
	require.Len(t, shared, 64)
	l.Merge([]promptblock.SharedCrash{{Upstream: "engine", Parts: nil}, {Upstream: "old", Parts: []string{"p"}, AgeMillis: 1 << 40}}, at(1000))
	shared, _ = l.Evidence(at(1000))
	require.Len(t, shared, 64)
}

// Guards against forgetting a blocked part when many engines end for another reason.
func TestBlockedPartOutlastsManyOtherCrashes(t *testing.T) {
	l := newList()
	for n := range 3 {
		crash(l, n, float64(n), "harmful")
	}
	for n := range 500 {
		crash(l, 100+n, 4+float64(n)/1000, "common", fmt.Sprint(n))
	}
	require.True(t, refused(l, 5, "harmful"))
	for n := range 100 {
		crash(l, 1000+n, 6+float64(n), "harmful")
	}
	for n := range 3 {
		crash(l, 2000+n, 200+float64(n), "new")
	}
	require.True(t, refused(l, 203, "new"), "one part does not take all places")
}

func BenchmarkDecide(b *testing.B) {
	l := newList()
	for n := range 64 {
		crash(l, n, float64(n), "common", fmt.Sprint(n%7), "harmful")
	}
	parts := []string{"common", "sound"}
	for b.Loop() {
		l.Decide(parts, never, at(70))
	}
}
