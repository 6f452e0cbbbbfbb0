package adoption_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/version/account"
	"github.com/flamingohold/flamingohold/internal/version/adoption"
	"github.com/flamingohold/flamingohold/internal/version/bundle"
	"github.com/flamingohold/flamingohold/internal/version/configuration"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
)

func publish(t require.TestingT, version uint64, names ...string) *bundle.Bundle {
	f := fleet.Fleet{
		DataCentres: []fleet.DataCentre{{Name: "zg-a", Region: "hr-kont", State: fleet.StateInService}},
		Policy:      fleet.DefaultPolicy(),
	}
	var accounts []account.Account
	for _, name := range names {
		accounts = append(accounts, account.Account{Name: name, KeySHA256: account.HashKey(name)})
	}
	b, err := bundle.Encode(version, f, nil, accounts)
	require.NoError(t, err)
	return b
}

// Guards against processes that disagree permanently: processes that read the
// same bundles, in any order and repeatedly, must end with the same one, and
// none may return to an earlier one. Two operators publish under the same
// version number here.
func TestProcessesConvergeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		published := []*bundle.Bundle{publish(t, 1, "a"), publish(t, 2, "b"), publish(t, 2, "c"), publish(t, 3, "d"), publish(t, 3, "e")}
		var finalHashes []string
		for range 2 {
			var running *configuration.Configuration
			order := rapid.Permutation(append(published, published...)).Draw(t, "order")
			for _, b := range order {
				next, err := adoption.Decide(running, b.Manifest, b.Chunks)
				if err != nil {
					continue
				}
				if running != nil {
					require.True(t, running.OlderThan(next.Version, next.Hash))
				}
				running = next
			}
			finalHashes = append(finalHashes, running.Hash)
		}
		require.Equal(t, finalHashes[0], finalHashes[1])
	})
}

// Guards against adopting a bundle that is older, incomplete, damaged or
// inconsistent, and against a refusal with a wrong reason.
func TestRefusalHasReason(t *testing.T) {
	good := publish(t, 5, "a")
	running, err := adoption.Decide(nil, good.Manifest, good.Chunks)
	require.NoError(t, err)
	missing := publish(t, 6, "a", "b")
	delete(missing.Chunks, missing.Manifest.Chunks[0].SHA256)
	damaged := publish(t, 6, "a", "b")
	damaged.Chunks[damaged.Manifest.Chunks[0].SHA256] = []byte("{}")
	for reason, b := range map[string]*bundle.Bundle{
		adoption.ReasonNotNewer:   publish(t, 4, "z"),
		adoption.ReasonIncomplete: missing,
		adoption.ReasonCorrupt:    damaged,
		adoption.ReasonInvalid:    publish(t, 6, "a", "a"),
	} {
		_, err := adoption.Decide(running, b.Manifest, b.Chunks)
		var refusal *adoption.Refusal
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, reason, refusal.Reason)
		require.Equal(t, b.Manifest.Version, refusal.Version)
	}
}

// BenchmarkDecide measures the adoption of a bundle with the 13,000 accounts of
// the target size. A process adopts 1,600 changes a day.
func BenchmarkDecide(b *testing.B) {
	names := make([]string, 13_000)
	for i := range names {
		names[i] = fmt.Sprintf("account-%d", i)
	}
	published := publish(b, 1, names...)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := adoption.Decide(nil, published.Manifest, published.Chunks); err != nil {
			b.Fatal(err)
		}
	}
}
