// Command capacity measures how the system's parts grow with the size of a
// deployment, and writes the figures to docs/CAPACITY.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/flamingohold/flamingohold/internal/capacity/document"
	"github.com/flamingohold/flamingohold/internal/capacity/measure"
	"github.com/flamingohold/flamingohold/internal/capacity/processes"
)

// realProcesses is the name under which all series of real processes are
// measured.
const realProcesses = "processes"

// options are the command line.
type options struct {
	only    string
	page    string
	example string
	folder  string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, arguments []string) error {
	o := options{example: "examples/stalak_najam", folder: "run/capacity"}
	parser := flaggy.NewParser("capacity")
	parser.String(&o.only, "", "only", "regular expression of the series to measure; processes for those of real processes")
	parser.String(&o.page, "o", "out", "page whose measured part is replaced, none for a list on standard output")
	parser.String(&o.example, "d", "dir", "folder of the example deployment for real processes")
	parser.String(&o.folder, "r", "run-folder", "folder for settings and logs of real processes")
	if err := parser.ParseArgs(arguments); err != nil {
		return err
	}
	all, err := o.measure(ctx)
	if err != nil || o.page == "" || o.only != "" {
		return err
	}
	return document.Replace(o.page, document.Table(all))
}

// measure prints each series as soon as it is measured and returns all.
func (o options) measure(ctx context.Context) ([]measure.Series, error) {
	pattern, err := regexp.Compile("^(" + o.only + ")")
	if err != nil {
		return nil, errors.Wrap(err, "read the expression")
	}
	var all []measure.Series
	done := func(s measure.Series) {
		fmt.Println(document.Row(s))
		all = append(all, s)
	}
	measure.Run(pattern.MatchString, done)
	if !pattern.MatchString(realProcesses) {
		return all, nil
	}
	self, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "find programs")
	}
	err = processes.Run(ctx, processes.Options{
		Programs: filepath.Dir(self), Example: o.example, Folder: o.folder,
	}, done)
	return all, err
}
