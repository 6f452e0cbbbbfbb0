package mirror

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// largeItem returns an item whose value differs in few bytes between revisions.
func largeItem(revision int64) Item {
	value := make([]byte, 4*minLargeBytes)
	for i := range value {
		value[i] = byte(i * i >> 3)
	}
	value[int(revision*97)%len(value)] = byte(revision)
	return Item{Key: "large", Value: value, Revision: revision}
}

// transfer sends what the receiver lacks and reports whether it was permitted.
func transfer(t require.TestingT, from, to *Mirror, complete bool) (Batch, bool) {
	held, _ := to.Position()
	b, ok := from.EncodedSince(held, to.Held(), complete)
	if !ok {
		return b, false
	}
	decoded, err := to.Decode(b)
	require.NoError(t, err)
	to.Apply(decoded, start)
	return b, true
}

func valueOf(t require.TestingT, m *Mirror) []byte {
	for _, i := range m.Since(Position{}).Items {
		if i.Key == "large" {
			return i.Value
		}
	}
	require.Fail(t, "the mirror lacks the item")
	return nil
}

// Guards against sending a large value completely to a router that holds an earlier version of it.
func TestLargeValueIsSentAsSteps(t *testing.T) {
	reader, relay, last := New((&recorder{}).add), New((&recorder{}).add), New((&recorder{}).add)
	reader.Apply(Batch{Items: []Item{largeItem(1)}, Revision: 1}, start)
	_, ok := transfer(t, reader, relay, false)
	require.False(t, ok, "a router without the value needs it completely")
	for _, to := range []*Mirror{relay, last} {
		b, ok := transfer(t, reader, to, true)
		require.True(t, ok)
		require.NotNil(t, b.Items[0].Compressed)
	}
	for revision := int64(2); revision <= 4; revision++ {
		reader.Apply(Batch{Items: []Item{largeItem(revision)}, Revision: revision}, start)
		b, ok := transfer(t, reader, relay, false)
		require.True(t, ok)
		require.Nil(t, b.Items[0].Value)
		require.Len(t, b.Items[0].Steps, 1)
	}
	b, ok := transfer(t, relay, last, false)
	require.True(t, ok, "a router that received steps passes them on")
	require.Len(t, b.Items[0].Steps, 3)
	require.Equal(t, largeItem(4).Value, valueOf(t, last))
}

// Guards against a value that is decoded from a version which the router does not hold.
func TestStepFromAnotherVersionIsRefused(t *testing.T) {
	reader, router := New((&recorder{}).add), New((&recorder{}).add)
	for revision := int64(1); revision <= 3; revision++ {
		reader.Apply(Batch{Items: []Item{largeItem(revision)}, Revision: revision}, start)
	}
	router.Apply(Batch{Items: []Item{largeItem(1)}, Revision: 1}, start)
	b, ok := reader.EncodedSince(Position{Revision: 1}, map[string]int64{"large": 2}, false)
	require.True(t, ok)
	_, err := router.Decode(b)
	require.Error(t, err)
	require.Equal(t, largeItem(1).Value, valueOf(t, router))
}

// Guards against routers whose values differ after any order of changes, transfers and changes that one of them skips.
func TestEncodedTransfersConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mirrors := []*Mirror{New((&recorder{}).add), New((&recorder{}).add), New((&recorder{}).add)}
		revision := int64(1)
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			from := mirrors[rapid.IntRange(0, 2).Draw(rt, "from")]
			if rapid.Bool().Draw(rt, "write") {
				revision++
				from.Apply(Batch{Items: []Item{largeItem(revision)}, Revision: revision}, start)
				continue
			}
			transfer(rt, from, mirrors[rapid.IntRange(0, 2).Draw(rt, "to")], rapid.Bool().Draw(rt, "complete"))
		}
		revision++
		mirrors[0].Apply(Batch{Items: []Item{largeItem(revision)}, Revision: revision}, start)
		for _, m := range mirrors[1:] {
			transfer(rt, mirrors[0], m, true)
			require.True(rt, bytes.Equal(largeItem(revision).Value, valueOf(rt, m)))
		}
	})
}

// Guards against steps that take more memory than the value.
func TestStepsAreBounded(t *testing.T) {
	m := New((&recorder{}).add)
	for revision := int64(1); revision <= 3*maxSteps; revision++ {
		m.Apply(Batch{Items: []Item{largeItem(revision)}, Revision: revision}, start)
	}
	require.LessOrEqual(t, len(m.lineages["large"].steps), maxSteps)
	m.Apply(Batch{Items: []Item{{Key: "large", Revision: 1000, Deleted: true}}, Revision: 1000}, start)
	require.Empty(t, m.Held())
}
