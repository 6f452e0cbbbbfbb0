package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/flamingohold/flamingohold/internal/process/eventlog"
	"github.com/flamingohold/flamingohold/internal/process/mirror"
	"github.com/flamingohold/flamingohold/internal/process/promptblock"
)

// Guards against sending evidence in each message to a router that keeps other crashes of too many.
func TestSameEvidenceIsNotSentInEachMessage(t *testing.T) {
	now := time.Now()
	p := New(Options{
		Address: "self:1", Mirror: mirror.New(func([]mirror.Change, time.Time) {}),
		Prompts: promptblock.New(func(promptblock.Change) {}), Log: eventlog.Discard(), Scope: tally.NoopScope, Clock: func() time.Time { return now },
	})
	crash := func(n int) {
		p.prompts.RecordCrash(promptblock.Crash{Upstream: fmt.Sprint(n), Parts: []string{"part"}, At: now})
	}
	send := func(peers uint64) message {
		m := message{}
		p.addEvidence(&m, "a:1", peers)
		p.recordEvidenceSent(m, "a:1", peers)
		return m
	}
	p.recordContact("a:1", 1)
	crash(1)
	require.NotEmpty(t, send(7).Evidence)
	require.Empty(t, send(7).Evidence)
	now = now.Add(evidenceResendInterval)
	require.NotEmpty(t, send(7).Evidence, "a response may have been lost")
	require.NotEmpty(t, send(0).Evidence, "the router has started again")
	crash(2)
	last := send(0)
	require.NotEmpty(t, last.Evidence)
	require.Empty(t, send(last.EvidenceDigest).Evidence)
}
