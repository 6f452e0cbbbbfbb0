package bundle_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/flamingohold/flamingohold/internal/version/account"
	"github.com/flamingohold/flamingohold/internal/version/bundle"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
	"github.com/flamingohold/flamingohold/internal/version/manifest"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

func someFleet() fleet.Fleet {
	return fleet.Fleet{
		DataCentres: []fleet.DataCentre{{Name: "zg-a", Region: "hr-kont", State: fleet.StateInService}},
		Policy:      fleet.DefaultPolicy(),
	}
}

func someAccounts(count int) []account.Account {
	accounts := make([]account.Account, count)
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		accounts[i] = account.Account{Name: name, KeySHA256: account.HashKey(name), RequestsPerSecond: 10}
	}
	return accounts
}

// Guards against chunks that the configuration service cannot hold, and against
// a change of one of 13,000 accounts that makes every process read them all.
func TestOneChangedAccountChangesOneSmallChunk(t *testing.T) {
	accounts := someAccounts(13_000)
	before, err := bundle.Encode(1, someFleet(), nil, accounts)
	require.NoError(t, err)
	accounts[77].Concurrency = 9
	after, err := bundle.Encode(2, someFleet(), nil, accounts)
	require.NoError(t, err)
	changed := 0
	for hash, data := range after.Chunks {
		require.LessOrEqual(t, len(data), manifest.MaxValueBytes)
		if _, kept := before.Chunks[hash]; !kept {
			changed += len(data)
		}
	}
	require.Positive(t, changed)
	require.Less(t, changed, 512<<10)
}

// Guards against two operators' machines that publish the same content under
// different hashes, and against content lost in encoding.
func TestOrderOfEntriesDoesNotChangeTheBundle(t *testing.T) {
	accounts := someAccounts(50)
	services := []service.Service{{Name: "a", Kind: service.KindPlain}, {Name: "b", Kind: service.KindEngine}}
	first, err := bundle.Encode(4, someFleet(), services, accounts)
	require.NoError(t, err)
	decoded, err := bundle.Decode(first.Manifest, first.Chunks)
	require.NoError(t, err)
	require.Equal(t, accounts, decoded.Accounts)
	require.Equal(t, services, decoded.Services)
	require.Equal(t, someFleet(), decoded.Fleet)
	require.Equal(t, uint64(4), decoded.Version)

	rand.New(rand.NewPCG(1, 0)).Shuffle(len(accounts), func(i, j int) { accounts[i], accounts[j] = accounts[j], accounts[i] })
	second, err := bundle.Encode(4, someFleet(), []service.Service{services[1], services[0]}, accounts)
	require.NoError(t, err)
	require.Equal(t, first.Manifest, second.Manifest)
}

// Guards against a bundle that is used although a chunk is missing, damaged,
// truncated or exchanged.
func TestDecodeRefusesDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := bundle.Encode(1, someFleet(), nil, someAccounts(3))
		require.NoError(t, err)
		hash := rapid.SampledFrom(b.Manifest.Chunks).Draw(t, "chunk").SHA256
		data := append([]byte(nil), b.Chunks[hash]...)
		switch rapid.IntRange(0, 3).Draw(t, "damage") {
		case 0:
			delete(b.Chunks, hash)
			_, err = bundle.Decode(b.Manifest, b.Chunks)
			require.ErrorIs(t, err, bundle.ErrIncomplete)
			return
		case 1:
			data[rapid.IntRange(0, len(data)-1).Draw(t, "position")] ^= 1
		case 2:
			data = data[:rapid.IntRange(0, len(data)-1).Draw(t, "length")]
		case 3:
			data = append(data, ' ')
		}
		b.Chunks[hash] = data
		_, err = bundle.Decode(b.Manifest, b.Chunks)
		require.ErrorIs(t, err, bundle.ErrCorrupt)
	})
}

// Guards against a panic on chunks that match their hashes but hold nonsense.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"fleet":{}}`), []byte(`{"accounts":[{"name":"a"}]}`))
	f.Add([]byte(`{"fleet":null}`), []byte(`[]`))
	f.Add([]byte(`{"fleet":{"data_centres":[{"name":1}]}}`), []byte(`{"services":[{}],"fleet":{}}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		chunks := make(map[string][]byte)
		var described []manifest.Chunk
		for _, data := range [][]byte{first, second} {
			c := manifest.Describe(data)
			chunks[c.SHA256] = data
			described = append(described, c)
		}
		c, err := bundle.Decode(manifest.New(1, described), chunks)
		require.Equal(t, err == nil, c != nil)
	})
}
