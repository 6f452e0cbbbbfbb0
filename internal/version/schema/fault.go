package schema

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// maxNameDistance is the largest edit distance in letters at which a name is
// treated as a misspelling of another one.
const maxNameDistance = 4

// Fault is one fault in an operators' file.
type Fault struct {
	// File is the path of the file.
	File string `json:"file"`
	// Path is a JSON pointer to the position in the file, empty for the whole file.
	Path string `json:"path"`
	// Reason states the fault and Suggestion how to correct it.
	Reason     string `json:"reason"`
	Suggestion string `json:"suggestion"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s: %s: %s (%s)", f.File, path, f.Reason, f.Suggestion)
}

// Nearest returns the candidate with the smallest edit distance to the name,
// empty if none is similar.
func Nearest(name string, candidates []string) string {
	best, bestDistance := "", min(maxNameDistance, max(1, len(name)/2))+1
	for _, c := range candidates {
		if d := levenshtein.ComputeDistance(strings.ToLower(name), strings.ToLower(c)); d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}

// faults returns the faults of a validation error, one or more for each error
// without causes.
func (s *Schema) faults(file string, e *jsonschema.ValidationError) []Fault {
	if len(e.Causes) > 0 {
		var all []Fault
		for _, cause := range e.Causes {
			all = append(all, s.faults(file, cause)...)
		}
		return all
	}
	path := pointer(e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		return s.unknownFields(file, path, e.SchemaURL, k.Properties)
	case *kind.Required:
		return missingFields(file, path, k.Missing)
	case *kind.Enum:
		return []Fault{unknownValue(file, path, k)}
	case *kind.Pattern:
		return []Fault{{file, path, fmt.Sprintf("value %q is malformed", k.Got), "match " + k.Want}}
	case *kind.Type:
		return []Fault{{file, path, "the value is of type " + k.Got, "use a value of type " + strings.Join(k.Want, " or ")}}
	}
	reason := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return []Fault{{file, path, reason, "see docs/configuration.md"}}
}

func (s *Schema) unknownFields(file, path, schemaURL string, fields []string) []Fault {
	_, definition, _ := strings.Cut(schemaURL, referencePrefix)
	var known []string
	if n := s.definitions[definition]; n != nil {
		known = n.Properties.names()
	}
	var all []Fault
	for _, f := range fields {
		suggestion := "remove it; the known fields are " + strings.Join(known, ", ")
		if nearest := Nearest(f, known); nearest != "" {
			suggestion = fmt.Sprintf("did you mean %q?", nearest)
		}
		all = append(all, Fault{file, path + pointer([]string{f}), fmt.Sprintf("field %q is unknown", f), suggestion})
	}
	return all
}

func missingFields(file, path string, fields []string) []Fault {
	var all []Fault
	for _, f := range fields {
		all = append(all, Fault{file, path, fmt.Sprintf("field %q is missing", f), fmt.Sprintf("add %q", f)})
	}
	return all
}

func unknownValue(file, path string, k *kind.Enum) Fault {
	var known []string
	for _, w := range k.Want {
		known = append(known, fmt.Sprint(w))
	}
	suggestion := "use one of " + strings.Join(known, ", ")
	if nearest := Nearest(fmt.Sprint(k.Got), known); nearest != "" {
		suggestion = fmt.Sprintf("did you mean %q?", nearest)
	}
	return Fault{file, path, fmt.Sprintf("value %q is unknown", fmt.Sprint(k.Got)), suggestion}
}

// pointer returns the JSON pointer (RFC 6901) with the tokens.
func pointer(tokens []string) string {
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	var b strings.Builder
	for _, t := range tokens {
		b.WriteByte('/')
		b.WriteString(escape.Replace(t))
	}
	return b.String()
}

// position returns the line and the column of an offset in bytes, both counted
// from 1.
func position(data []byte, offset int64) string {
	before := string(data[:min(offset, int64(len(data)))])
	line := strings.Count(before, "\n") + 1
	column := len(before) - strings.LastIndexByte(before, '\n')
	return "line " + strconv.Itoa(line) + ", column " + strconv.Itoa(column)
}

func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return strings.Compare(a.Path, b.Path) })
}
