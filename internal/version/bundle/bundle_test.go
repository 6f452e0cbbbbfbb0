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

func testFleet() fleet.Fleet {
	return fleet.Fleet{
		DataCentres: []fleet.DataCentre{{Name: "zg-a", Region: "hr-kont", State: fleet.StateInService}},
		Policy:      fleet.DefaultPolicy(),
	}
}

func testAccounts(count int) []account.Account {
	accounts := make([]account.Account, count)
	for i := range accounts {
		name := fmt.Sprintf("account-%05d", i)
		accounts[i] = account.Account{Name: name, KeySHA256: account.HashKey(name), RequestsPerSecond: 10}
	}
	return accounts
}

// Guards against chunks that are too large for the configuration service, and
// against a change of one of 13,000 accounts after which every process reads all
// of them.
func TestChangedAccountChangesOneSmallChunk(t *testing.T) {
	accounts := testAccounts(13_000)
	before, err := bundle.Encode(1, testFleet(), nil, accounts)
	require.NoError(t, err)
	accounts[77].Concurrency = 9
	after, err := bundle.Encode(2, testFleet(), nil, accounts)
	require.NoError(t, err)
	changedBytes := 0
	for hash, data := range after.Chunks {
		require.LessOrEqual(t, len(data), manifest.MaxValueBytes)
		if _, unchanged := before.Chunks[hash]; !unchanged {
			changedBytes += len(data)
		}
	}
	require.Positive(t, changedBytes)
	require.Less(t, changedBytes, 512<<10)
}

// Guards against two operators' machines publishing the same content with
// different hashes, and against content that is lost by encoding.
func TestBundleIsIndependentOfEntryOrder(t *testing.T) {
	accounts := testAccounts(50)
	services := []service.Service{{Name: "a", Kind: service.KindPlain}, {Name: "b", Kind: service.KindEngine}}
	first, err := bundle.Encode(4, testFleet(), services, accounts)
	require.NoError(t, err)
	decoded, err := bundle.Decode(first.Manifest, first.Chunks)
	require.NoError(t, err)
	require.Equal(t, accounts, decoded.Accounts)
	require.Equal(t, services, decoded.Services)
	require.Equal(t, testFleet(), decoded.Fleet)
	require.Equal(t, uint64(4), decoded.Version)

	rand.New(rand.NewPCG(1, 0)).Shuffle(len(accounts), func(i, j int) { accounts[i], accounts[j] = accounts[j], accounts[i] })
	second, err := bundle.Encode(4, testFleet(), []service.Service{services[1], services[0]}, accounts)
	require.NoError(t, err)
	require.Equal(t, first.Manifest, second.Manifest)
}

// Guards against using a bundle with a missing, damaged, truncated or extended
// chunk.
func TestDecodeRefusesDamagedChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := bundle.Encode(1, testFleet(), nil, testAccounts(3))
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

// Guards against a panic on chunks that match their hashes but have invalid
// content.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"fleet":{}}`), []byte(`{"accounts":[{"name":"a"}]}`))
	f.Add([]byte(`{"fleet":null}`), []byte(`[]`))
	f.Add([]byte(`{"fleet":{"data_centres":[{"name":1}]}}`), []byte(`{"services":[{}],"fleet":{}}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		chunks := make(map[string][]byte)
		var descriptors []manifest.Chunk
		for _, data := range [][]byte{first, second} {
			c := manifest.NewChunk(data)
			chunks[c.SHA256] = data
			descriptors = append(descriptors, c)
		}
		c, err := bundle.Decode(manifest.New(1, descriptors), chunks)
		require.Equal(t, err == nil, c != nil)
	})
}
