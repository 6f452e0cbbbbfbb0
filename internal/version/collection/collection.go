package collection

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/flamingohold/flamingohold/internal/version/account"
	"github.com/flamingohold/flamingohold/internal/version/consistency"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
	"github.com/flamingohold/flamingohold/internal/version/schema"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

// maxFileBytes bounds the size of one file. A file with 13,000 accounts has
// about 2 MB.
const maxFileBytes = 16 << 20

// Collection is the content of the operators' files below one directory.
type Collection struct {
	Fleet    fleet.Fleet
	Services []service.Service
	Accounts []account.Account
	// Files lists the paths read, relative to the directory.
	Files []string

	schema *schema.Schema
	faults []schema.Fault
	// fleetFiles lists all fleet files. serviceOrigins and accountOrigins hold the
	// origin of the service or account with the same index.
	fleetFiles     []string
	serviceOrigins []origin
	accountOrigins []origin
}

// origin is the position of a value: a file, and a JSON pointer in it.
type origin struct{ file, path string }

// Read returns the content of all operators' files below the directory and
// every fault in them, ordered by file. The content is valid only if there is
// no fault. The error is not nil if the directory cannot be read. Hidden
// directories are skipped.
func Read(directory string) (*Collection, []schema.Fault, error) {
	s, err := schema.New()
	if err != nil {
		return nil, nil, err
	}
	c := &Collection{schema: s}
	err = filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		return c.visit(directory, path, entry)
	})
	if err != nil {
		return nil, nil, errors.Wrapf(err, "read %s", directory)
	}
	c.checkConsistency()
	slices.SortStableFunc(c.faults, func(a, b schema.Fault) int { return strings.Compare(a.File, b.File) })
	return c, c.faults, nil
}

func (c *Collection) visit(directory, path string, entry fs.DirEntry) error {
	if entry.IsDir() {
		if path != directory && strings.HasPrefix(entry.Name(), ".") {
			return fs.SkipDir
		}
		return nil
	}
	if !strings.HasSuffix(entry.Name(), schema.FileSuffix) {
		return nil
	}
	relative, err := filepath.Rel(directory, path)
	if err != nil {
		return err
	}
	return c.readFile(path, filepath.ToSlash(relative), entry.Name())
}

func (c *Collection) readFile(path, file, name string) error {
	if !slices.Contains(schema.FileNames(), name) {
		suggestion := "rename the file to one of " + strings.Join(schema.FileNames(), ", ")
		if nearest := schema.Nearest(name, schema.FileNames()); nearest != "" {
			suggestion = fmt.Sprintf("did you mean %q?", nearest)
		}
		c.addFault(file, "", fmt.Sprintf("file name %q is unknown", name), suggestion)
		return nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Size() > maxFileBytes {
		c.addFault(file, "", fmt.Sprintf("the file size of %d bytes exceeds the limit", info.Size()), fmt.Sprintf("reduce it to at most %d bytes", maxFileBytes))
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	c.Files = append(c.Files, file)
	content, faults := c.schema.Check(name, file, data)
	c.faults = append(c.faults, faults...)
	c.add(name, file, content)
	return nil
}

// add adds the entries of the file that can be decoded, so that a fault in one
// entry does not hide the faults of other entries.
func (c *Collection) add(name, file string, content []byte) {
	switch name {
	case schema.FleetFile:
		c.fleetFiles = append(c.fleetFiles, file)
		c.decode(origin{file, ""}, content, &c.Fleet)
	case schema.ServiceFile:
		var s service.Service
		if c.decode(origin{file, ""}, content, &s) {
			c.Services = append(c.Services, s)
			c.serviceOrigins = append(c.serviceOrigins, origin{file, ""})
		}
	case schema.AccountsFile:
		var entries []json.RawMessage
		c.decode(origin{file, ""}, content, &entries)
		for i, entry := range entries {
			var a account.Account
			o := origin{file, fmt.Sprintf("/%d", i)}
			if c.decode(o, entry, &a) {
				c.Accounts = append(c.Accounts, a)
				c.accountOrigins = append(c.accountOrigins, o)
			}
		}
	}
}

// decode reports whether the content could be decoded. If not, it adds a fault
// unless the file already has one, so that no entry is omitted silently.
func (c *Collection) decode(o origin, content []byte, value any) bool {
	err := json.Unmarshal(content, value)
	hasFault := slices.ContainsFunc(c.faults, func(f schema.Fault) bool { return f.File == o.file })
	if err != nil && !hasFault {
		c.addFault(o.file, o.path, err.Error(), "see docs/configuration.md")
	}
	return err == nil
}

// checkConsistency checks the content of all files together.
func (c *Collection) checkConsistency() {
	if len(c.fleetFiles) == 0 {
		c.fleetFiles = []string{schema.FleetFile}
		c.addFault(schema.FleetFile, "", "the file is missing", "add it to the top directory")
	}
	for _, file := range c.fleetFiles[1:] {
		c.addFault(file, "", "the fleet is also described in "+c.fleetFiles[0], "keep only one of the files")
	}
	// A finding at the position of a fault, or in a file that has a fault as a
	// whole, would only repeat that fault.
	reported := make(map[origin]bool)
	for _, f := range c.faults {
		reported[origin{f.File, f.Path}] = true
	}
	for _, f := range consistency.Check(c.Fleet, c.Services, c.Accounts) {
		o := c.origin(f)
		if !reported[o] && !reported[origin{o.file, ""}] {
			c.addFault(o.file, o.path, f.Reason, f.Suggestion)
		}
	}
}

// origin returns the position of the finding in the operators' files.
func (c *Collection) origin(f consistency.Finding) origin {
	o := origin{file: c.fleetFiles[0]}
	switch f.Section {
	case consistency.SectionServices:
		o = c.serviceOrigins[f.Index]
	case consistency.SectionAccounts:
		o = c.accountOrigins[f.Index]
	}
	return origin{o.file, o.path + f.Path}
}

func (c *Collection) addFault(file, path, reason, suggestion string) {
	c.faults = append(c.faults, schema.Fault{File: file, Path: path, Reason: reason, Suggestion: suggestion})
}
