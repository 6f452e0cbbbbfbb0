package bundle

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/version/account"
	"github.com/flamingohold/flamingohold/internal/version/configuration"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
	"github.com/flamingohold/flamingohold/internal/version/manifest"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

// targetChunkBytes bounds the mean size of the chunks of one section. After a
// change of one entry, every process reads one chunk again: 1,600 changes a day
// of 128 KiB are 2.4 KB/s of a node's 20 KB/s for control traffic. With smaller
// chunks, a change of all accounts or a restart of all processes would need more
// reads than the configuration service serves in time.
const targetChunkBytes = 128 << 10

// Errors of Decode.
var (
	// ErrIncomplete is returned if a chunk is missing.
	ErrIncomplete = errors.New("incomplete bundle")
	// ErrCorrupt is returned if a chunk does not match its hash or cannot be
	// decoded.
	ErrCorrupt = errors.New("corrupt bundle")
)

// Bundle is one version of the configuration in its published form. It is not
// changed after Encode.
type Bundle struct {
	Manifest *manifest.Manifest
	// Chunks maps the hash of each chunk of the manifest to its data.
	Chunks map[string][]byte
}

// section is the content of one chunk; exactly one field is set.
type section struct {
	Fleet    *fleet.Fleet      `json:"fleet,omitempty"`
	Services []service.Service `json:"services,omitempty"`
	Accounts []account.Account `json:"accounts,omitempty"`
}

// Encode returns the bundle of a configuration. Equal content results in equal
// chunks, independent of the order of the services and accounts. It returns an
// error if an entry is larger than half the maximum size of a chunk.
func Encode(version uint64, f fleet.Fleet, services []service.Service, accounts []account.Account) (*Bundle, error) {
	sections := []section{{Fleet: &f}}
	groupedServices, err := groupByName(services, func(s service.Service) string { return s.Name })
	if err != nil {
		return nil, err
	}
	for _, g := range groupedServices {
		sections = append(sections, section{Services: g})
	}
	groupedAccounts, err := groupByName(accounts, func(a account.Account) string { return a.Name })
	if err != nil {
		return nil, err
	}
	for _, g := range groupedAccounts {
		sections = append(sections, section{Accounts: g})
	}
	return assemble(version, sections)
}

func assemble(version uint64, sections []section) (*Bundle, error) {
	chunks := make(map[string][]byte, len(sections))
	descriptors := make([]manifest.Chunk, 0, len(sections))
	for _, s := range sections {
		data, err := json.Marshal(s)
		if err != nil {
			return nil, errors.Wrap(err, "encode chunk")
		}
		c := manifest.NewChunk(data)
		chunks[c.SHA256] = data
		descriptors = append(descriptors, c)
	}
	m := manifest.New(version, descriptors)
	if _, err := m.Encode(); err != nil {
		return nil, err
	}
	return &Bundle{Manifest: m, Chunks: chunks}, nil
}

// groupByName groups the entries by a hash of their names, so that a change of
// one entry changes only one chunk. Each group is sorted by name.
func groupByName[E any](entries []E, name func(E) string) ([][]E, error) {
	total := 0
	for _, e := range entries {
		data, err := json.Marshal(e)
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s", name(e))
		}
		if len(data) > manifest.MaxValueBytes/2 {
			return nil, errors.Newf("entry %s has %d bytes, more than half the maximum chunk size", name(e), len(data))
		}
		total += len(data) + 1
	}
	buckets := 1
	for total > buckets*targetChunkBytes {
		buckets *= 2
	}
	groups := make([][]E, buckets)
	for _, e := range entries {
		b := xxhash.Sum64String(name(e)) % uint64(buckets)
		groups[b] = append(groups[b], e)
	}
	groups = slices.DeleteFunc(groups, func(g []E) bool { return len(g) == 0 })
	for _, g := range groups {
		slices.SortFunc(g, func(a, b E) int { return strings.Compare(name(a), name(b)) })
	}
	return groups, nil
}

// Decode returns the configuration of a verified manifest. Chunks that are not
// in the manifest are ignored. The errors are ErrIncomplete and ErrCorrupt.
// Unknown fields are ignored, so that a process of an earlier release can use a
// bundle of a later release; the check command reports them before publication.
func Decode(m *manifest.Manifest, chunks map[string][]byte) (*configuration.Configuration, error) {
	var f *fleet.Fleet
	var services []service.Service
	var accounts []account.Account
	for _, c := range m.Chunks {
		s, err := decodeChunk(c, chunks)
		if err != nil {
			return nil, err
		}
		if s.Fleet != nil && f != nil {
			return nil, errors.Wrapf(ErrCorrupt, "chunk %s contains a second fleet section", c.SHA256)
		}
		if s.Fleet != nil {
			f = s.Fleet
		}
		services = append(services, s.Services...)
		accounts = append(accounts, s.Accounts...)
	}
	if f == nil {
		return nil, errors.Wrap(ErrCorrupt, "no chunk contains the fleet section")
	}
	slices.SortFunc(services, func(a, b service.Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(accounts, func(a, b account.Account) int { return strings.Compare(a.Name, b.Name) })
	return configuration.New(m.Version, m.Hash, *f, services, accounts), nil
}

func decodeChunk(c manifest.Chunk, chunks map[string][]byte) (section, error) {
	var s section
	data, ok := chunks[c.SHA256]
	if !ok {
		return s, errors.Wrapf(ErrIncomplete, "chunk %s is missing", c.SHA256)
	}
	if err := Verify(c, data); err != nil {
		return s, err
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, errors.Wrapf(ErrCorrupt, "decode chunk %s: %v", c.SHA256, err)
	}
	return s, nil
}

// Verify returns ErrCorrupt unless the data has the hash and size of the chunk.
func Verify(c manifest.Chunk, data []byte) error {
	if manifest.NewChunk(data) != c {
		return errors.Wrapf(ErrCorrupt, "hash or size of chunk %s does not match the %d bytes read", c.SHA256, len(data))
	}
	return nil
}
