package deltacodec

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID is the number of the only dictionary of a frame, the base.
	dictionaryID = 1
	// minWindowBytes and maxWindowBytes bound how far back a match may lie. The
	// window must cover the base and the value.
	minWindowBytes = 64 << 10
	maxWindowBytes = 16 << 20
)

// Codec encodes and decodes values of limited size. It is an immutable value.
type Codec struct {
	maxBytes int
}

// New returns a codec that decodes values of at most maxBytes.
func New(maxBytes int) Codec { return Codec{maxBytes: maxBytes} }

// Compress returns the value in compressed form.
func (c Codec) Compress(value []byte) []byte { return encode(nil, value) }

// Decompress returns the value that Compress encoded.
func (c Codec) Decompress(compressed []byte) ([]byte, error) { return c.decode(nil, compressed) }

// Difference returns what must be known, in addition to the base, to obtain the
// value.
func (c Codec) Difference(base, value []byte) []byte { return encode(base, value) }

// Patch returns the value whose difference from the base was encoded.
func (c Codec) Patch(base, difference []byte) ([]byte, error) { return c.decode(base, difference) }

func encode(base, value []byte) []byte {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(windowBytes(len(base) + len(value))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		// The options are constants and a valid window.
		panic(errors.Wrap(err, "open encoder"))
	}
	return encoder.EncodeAll(value, nil)
}

func (c Codec) decode(base, encoded []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(c.maxBytes)),
		zstd.WithDecoderMaxWindow(maxWindowBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "open decoder")
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(encoded, nil)
	return value, errors.Wrapf(err, "decode %d bytes", len(encoded))
}

// windowBytes returns the smallest permitted window that covers the size.
func windowBytes(size int) int {
	window := minWindowBytes
	for window < size && window < maxWindowBytes {
		window *= 2
	}
	return window
}
