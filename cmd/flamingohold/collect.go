package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/version/bundle"
	"github.com/flamingohold/flamingohold/internal/version/manifest"
	"github.com/flamingohold/flamingohold/internal/version/operatorfiles"
)

const (
	manifestName   = "manifest.json"
	chunkDirectory = "chunks"
	directoryMode  = 0o755
	fileMode       = 0o644
)

// collectOptions holds the values of the flags of collect.
type collectOptions struct {
	in, out, previous string
	version           uint64
}

func (p *program) collectCommand() command {
	flags := newCommand("collect", "Validate the operators' files and write them as one bundle.", `
    flamingohold collect --in . --out bundle --previous published/manifest.json
    flamingohold collect --in . --out bundle --version 1
  The command writes chunks/SHA256 and then manifest.json. Publish them to the configuration service in this order,
  under flamingohold/chunks/SHA256 and flamingohold/manifest.`)
	o := &collectOptions{in: "."}
	flags.String(&o.in, "i", "in", "directory that holds the operators' files")
	flags.String(&o.in, "r", "root", "same as --in")
	flags.String(&o.out, "o", "out", "directory to which the bundle is written")
	flags.String(&o.previous, "p", "previous", "manifest of the last published bundle; the new version is one higher")
	flags.UInt64(&o.version, "v", "version", "version number, if --previous is not given")
	return command{flags, func() int { return p.collect(o) }}
}

func (p *program) collect(o *collectOptions) int {
	if o.out == "" || (o.version == 0) == (o.previous == "") {
		_, _ = fmt.Fprintln(p.stderr, "flamingohold: collect needs --out and either --version from 1 or --previous")
		return exitUsage
	}
	files, faults, err := operatorfiles.Read(o.in)
	if err != nil {
		return p.fail(err)
	}
	if len(faults) > 0 {
		if err := p.printFaults(files, faults); err != nil {
			return p.fail(err)
		}
		return exitFailure
	}
	if err := p.writeBundle(o, files); err != nil {
		return p.fail(err)
	}
	return exitSuccess
}

func (p *program) writeBundle(o *collectOptions, files *operatorfiles.Files) error {
	previous, err := readPrevious(o.previous)
	if err != nil {
		return err
	}
	version := o.version
	if previous != nil {
		version = previous.Version + 1
	}
	b, err := bundle.Encode(version, files.Fleet, files.Services, files.Accounts)
	if err != nil {
		return errors.Wrap(err, "encode bundle")
	}
	if err := writeFiles(o.out, b); err != nil {
		return errors.Wrap(err, "write bundle")
	}
	_, err = fmt.Fprintf(p.stdout, "version %d hash %s: %d chunks, %d new\n",
		version, b.Manifest.Hash, len(b.Manifest.Chunks), countNewChunks(b.Manifest, previous))
	return err
}

// readPrevious decodes the manifest in the file. It returns nil if no file is
// given.
func readPrevious(file string) (*manifest.Manifest, error) {
	if file == "" {
		return nil, nil //nolint:nilnil // no file means no manifest
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read previous manifest")
	}
	m, err := manifest.Decode(data)
	return m, errors.Wrapf(err, "read previous manifest %s", file)
}

func countNewChunks(m, previous *manifest.Manifest) int {
	count := 0
	for _, c := range m.Chunks {
		if previous == nil || !slices.Contains(previous.Chunks, c) {
			count++
		}
	}
	return count
}

// writeFiles writes the manifest after the chunks, so that all chunks of a
// manifest exist when it appears.
func writeFiles(directory string, b *bundle.Bundle) error {
	chunks := filepath.Join(directory, chunkDirectory)
	if err := os.MkdirAll(chunks, directoryMode); err != nil {
		return err
	}
	for _, c := range b.Manifest.Chunks {
		if err := writeFile(filepath.Join(chunks, c.SHA256), b.Chunks[c.SHA256]); err != nil {
			return err
		}
	}
	data, err := b.Manifest.Encode()
	if err != nil {
		return err
	}
	return writeFile(filepath.Join(directory, manifestName), data)
}

// writeFile replaces the file atomically, so that no reader sees part of it.
func writeFile(path string, data []byte) error {
	temporary := path + ".tmp"
	if err := os.WriteFile(temporary, data, fileMode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
