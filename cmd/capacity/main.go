// Command capacity measures how the resource use of the system's parts grows with
// the size of a deployment, and writes the results to docs/CAPACITY.md.
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

// realProcesses is the name that --only must match for the series of real
// processes to be measured.
const realProcesses = "processes"

// options holds the values of the command-line flags.
type options struct {
	only       string
	outputPage string
	example    string
	folder     string
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
	parser.String(&o.only, "", "only", "regular expression that selects series by the start of their name; processes selects those of real processes")
	parser.String(&o.outputPage, "o", "out", "page whose table of results is replaced; if empty or with --only, results are only printed")
	parser.String(&o.example, "d", "dir", "directory of the example deployment for real processes")
	parser.String(&o.folder, "r", "run-folder", "directory for settings and logs of real processes")
	if err := parser.ParseArgs(arguments); err != nil {
		return err
	}
	all, err := o.measure(ctx)
	if err != nil || o.outputPage == "" || o.only != "" {
		return err
	}
	return document.ReplaceMeasured(o.outputPage, document.Table(all))
}

// measure measures the selected series, prints each as soon as it is complete and
// returns all of them.
func (o options) measure(ctx context.Context) ([]measure.Series, error) {
	pattern, err := regexp.Compile("^(" + o.only + ")")
	if err != nil {
		return nil, errors.Wrap(err, "parse --only")
	}
	var all []measure.Series
	record := func(s measure.Series) {
		fmt.Println(document.Row(s))
		all = append(all, s)
	}
	measure.Run(pattern.MatchString, record)
	if !pattern.MatchString(realProcesses) {
		return all, nil
	}
	self, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "locate executable")
	}
	err = processes.Run(ctx, processes.Options{
		Programs: filepath.Dir(self), Example: o.example, Folder: o.folder,
	}, record)
	return all, err
}
