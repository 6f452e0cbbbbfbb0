package operatorfiles

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

// Files is the content of the operators' files below one directory.
type Files struct {
	Fleet    fleet.Fleet
	Services []service.Service
	Accounts []account.Account
	// Paths lists the paths of the files read, relative to the directory.
	Paths []string

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
func Read(directory string) (*Files, []schema.Fault, error) {
	s, err := schema.New()
	if err != nil {
		return nil, nil, err
	}
	f := &Files{schema: s}
	err = filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		return f.visit(directory, path, entry)
	})
	if err != nil {
		return nil, nil, errors.Wrapf(err, "read %s", directory)
	}
	f.checkConsistency()
	slices.SortStableFunc(f.faults, func(a, b schema.Fault) int { return strings.Compare(a.File, b.File) })
	return f, f.faults, nil
}

func (f *Files) visit(directory, path string, entry fs.DirEntry) error {
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
	return f.readFile(path, filepath.ToSlash(relative), entry.Name())
}

func (f *Files) readFile(path, file, name string) error {
	if !slices.Contains(schema.FileNames(), name) {
		suggestion := "rename the file to one of " + strings.Join(schema.FileNames(), ", ")
		if nearest := schema.Nearest(name, schema.FileNames()); nearest != "" {
			suggestion = fmt.Sprintf("did you mean %q?", nearest)
		}
		f.addFault(file, "", fmt.Sprintf("file name %q is unknown", name), suggestion)
		return nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Size() > maxFileBytes {
		f.addFault(file, "", fmt.Sprintf("the file size of %d bytes exceeds the limit", info.Size()), fmt.Sprintf("reduce it to at most %d bytes", maxFileBytes))
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	f.Paths = append(f.Paths, file)
	content, faults := f.schema.Check(name, file, data)
	f.faults = append(f.faults, faults...)
	f.add(name, file, content)
	return nil
}

// add adds the entries of the file that can be decoded, so that a fault in one
// entry does not hide the faults of other entries.
func (f *Files) add(name, file string, content []byte) {
	switch name {
	case schema.FleetFile:
		f.fleetFiles = append(f.fleetFiles, file)
		f.decode(origin{file, ""}, content, &f.Fleet)
	case schema.ServiceFile:
		var s service.Service
		if f.decode(origin{file, ""}, content, &s) {
			f.Services = append(f.Services, s)
			f.serviceOrigins = append(f.serviceOrigins, origin{file, ""})
		}
	case schema.AccountsFile:
		var entries []json.RawMessage
		f.decode(origin{file, ""}, content, &entries)
		for i, entry := range entries {
			var a account.Account
			o := origin{file, fmt.Sprintf("/%d", i)}
			if f.decode(o, entry, &a) {
				f.Accounts = append(f.Accounts, a)
				f.accountOrigins = append(f.accountOrigins, o)
			}
		}
	}
}

// decode reports whether the content could be decoded. If not, it adds a fault
// unless the file already has one, so that no entry is omitted silently.
func (f *Files) decode(o origin, content []byte, value any) bool {
	err := json.Unmarshal(content, value)
	hasFault := slices.ContainsFunc(f.faults, func(fault schema.Fault) bool { return fault.File == o.file })
	if err != nil && !hasFault {
		f.addFault(o.file, o.path, err.Error(), "see docs/configuration.md")
	}
	return err == nil
}

// checkConsistency checks the content of all files together.
func (f *Files) checkConsistency() {
	if len(f.fleetFiles) == 0 {
		f.fleetFiles = []string{schema.FleetFile}
		f.addFault(schema.FleetFile, "", "the file is missing", "add it to the top directory")
	}
	for _, file := range f.fleetFiles[1:] {
		f.addFault(file, "", "the fleet is also described in "+f.fleetFiles[0], "keep only one of the files")
	}
	// A finding at the position of a fault, or in a file that has a fault as a
	// whole, would only repeat that fault.
	reported := make(map[origin]bool)
	for _, fault := range f.faults {
		reported[origin{fault.File, fault.Path}] = true
	}
	for _, finding := range consistency.Check(f.Fleet, f.Services, f.Accounts) {
		o := f.origin(finding)
		if !reported[o] && !reported[origin{o.file, ""}] {
			f.addFault(o.file, o.path, finding.Reason, finding.Suggestion)
		}
	}
}

// origin returns the position of the finding in the operators' files.
func (f *Files) origin(finding consistency.Finding) origin {
	o := origin{file: f.fleetFiles[0]}
	switch finding.Section {
	case consistency.SectionServices:
		o = f.serviceOrigins[finding.Index]
	case consistency.SectionAccounts:
		o = f.accountOrigins[finding.Index]
	}
	return origin{o.file, o.path + finding.Path}
}

func (f *Files) addFault(file, path, reason, suggestion string) {
	f.faults = append(f.faults, schema.Fault{File: file, Path: path, Reason: reason, Suggestion: suggestion})
}
