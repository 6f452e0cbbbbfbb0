package manifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"

	"github.com/cockroachdb/errors"
)

const (
	// MaxValueBytes bounds the size of the manifest and of each chunk. The
	// configuration service stores values of up to 1 MB.
	MaxValueBytes = 1_000_000
	// MaxChunks bounds the number of chunks of one version and so the number of
	// reads of each process.
	MaxChunks = 512
	// MaxBundleBytes bounds the total size of the chunks of one version. A process
	// may use at most 32 MB of memory for control data.
	MaxBundleBytes = 16 << 20
	// MaxVersion is the largest version number. JSON decoders that use float64
	// decode integers up to it exactly.
	MaxVersion = 1<<53 - 1
)

// ErrMalformed is returned for data that is not a valid manifest.
var ErrMalformed = errors.New("malformed manifest")

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Manifest lists the content of one version. It is immutable after New or
// Decode.
type Manifest struct {
	// Version is from 1 to MaxVersion.
	Version uint64 `json:"version"`
	// Hash covers Version and Chunks, in lower-case hex.
	Hash string `json:"hash"`
	// Chunks lists the chunks of the content, each once.
	Chunks []Chunk `json:"chunks"`
}

// Chunk identifies one part of the content by its hash and size.
type Chunk struct {
	// SHA256 is the hash of the chunk's data in lower-case hex.
	SHA256 string `json:"sha256"`
	// Size is the size of the chunk's data in bytes, from 1 to MaxValueBytes.
	Size int `json:"size"`
}

// New returns the manifest of the version with the given chunks.
func New(version uint64, chunks []Chunk) *Manifest {
	m := &Manifest{Version: version, Chunks: chunks}
	m.Hash = m.computeHash()
	return m
}

// NewChunk returns the hash and size of the data.
func NewChunk(data []byte) Chunk {
	sum := sha256.Sum256(data)
	return Chunk{SHA256: hex.EncodeToString(sum[:]), Size: len(data)}
}

// ValidHash reports whether the text is a SHA-256 in lower-case hex.
func ValidHash(text string) bool { return hashPattern.MatchString(text) }

// Decode decodes and verifies a manifest. All errors are ErrMalformed. Unknown
// fields are ignored, so that a later release may add fields.
func Decode(data []byte) (*Manifest, error) {
	if len(data) > MaxValueBytes {
		return nil, errors.Wrapf(ErrMalformed, "size of %d bytes exceeds the limit", len(data))
	}
	m := new(Manifest)
	if err := json.Unmarshal(data, m); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "decode: %v", err)
	}
	return m, m.validate()
}

// Encode verifies the manifest and returns it as indented JSON.
func (m *Manifest) Encode() ([]byte, error) {
	if err := m.validate(); err != nil {
		return nil, err
	}
	data, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode manifest")
	}
	data = append(data, '\n')
	if len(data) > MaxValueBytes {
		return nil, errors.Wrapf(ErrMalformed, "size of %d bytes exceeds the limit", len(data))
	}
	return data, nil
}

func (m *Manifest) validate() error {
	if m.Version == 0 || m.Version > MaxVersion {
		return errors.Wrapf(ErrMalformed, "version %d is not between 1 and %d", m.Version, uint64(MaxVersion))
	}
	if err := m.validateChunks(); err != nil {
		return err
	}
	if m.Hash != m.computeHash() {
		return errors.Wrapf(ErrMalformed, "hash %.64q does not match the content", m.Hash)
	}
	return nil
}

func (m *Manifest) validateChunks() error {
	if len(m.Chunks) == 0 || len(m.Chunks) > MaxChunks {
		return errors.Wrapf(ErrMalformed, "number of chunks %d is out of range", len(m.Chunks))
	}
	seen := make(map[string]bool, len(m.Chunks))
	total := 0
	for _, c := range m.Chunks {
		if !ValidHash(c.SHA256) || seen[c.SHA256] {
			return errors.Wrapf(ErrMalformed, "chunk hash %.64q is invalid or repeated", c.SHA256)
		}
		if c.Size <= 0 || c.Size > MaxValueBytes {
			return errors.Wrapf(ErrMalformed, "size of chunk %s is out of range: %d bytes", c.SHA256, c.Size)
		}
		seen[c.SHA256] = true
		total += c.Size
	}
	if total > MaxBundleBytes {
		return errors.Wrapf(ErrMalformed, "bundle size of %d bytes exceeds the limit of %d", total, MaxBundleBytes)
	}
	return nil
}

// computeHash returns the hash over the version and the chunks. It includes the
// version, because otherwise a damaged version number would change the position
// of the bundle in the order of versions.
func (m *Manifest) computeHash() string {
	var content bytes.Buffer
	fmt.Fprintf(&content, "flamingohold manifest 1\n%d\n", m.Version)
	for _, c := range m.Chunks {
		fmt.Fprintf(&content, "%s %d\n", c.SHA256, c.Size)
	}
	return NewChunk(content.Bytes()).SHA256
}
