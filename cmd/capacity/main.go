// Command capacity measures how the system's parts grow with the size of a
// deployment, and writes the figures to docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"
	"regexp"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/flamingohold/flamingohold/internal/capacity/document"
	"github.com/flamingohold/flamingohold/internal/capacity/measure"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(arguments []string) error {
	only, path := "", ""
	parser := flaggy.NewParser("capacity")
	parser.String(&only, "", "only", "regular expression of the series to measure")
	parser.String(&path, "o", "out", "page whose measured part is replaced, none for a list on standard output")
	if err := parser.ParseArgs(arguments); err != nil {
		return err
	}
	pattern, err := regexp.Compile("^(" + only + ")")
	if err != nil {
		return errors.Wrap(err, "read the expression")
	}
	var all []measure.Series
	measure.Run(pattern.MatchString, func(s measure.Series) {
		fmt.Println(document.Row(s))
		all = append(all, s)
	})
	if path == "" || only != "" {
		return nil
	}
	return document.Replace(path, document.Table(all))
}
