package main

import (
	"encoding/json"
	"fmt"

	"github.com/flamingohold/flamingohold/internal/version/operatorfiles"
	"github.com/flamingohold/flamingohold/internal/version/schema"
)

func (p *program) checkCommand() command {
	flags := newCommand("check", "Validate the operators' files and report every fault.", `
    flamingohold check --in .
    flamingohold check --in . --json
  The command reads the files fleet.flamingohold.json, accounts.flamingohold.json and service.flamingohold.json in the
  directory and all its subdirectories.`)
	directory, asJSON := ".", false
	flags.String(&directory, "i", "in", "directory that holds the files")
	flags.Bool(&asJSON, "j", "json", "print the faults as a JSON array")
	return command{flags, func() int { return p.check(directory, asJSON) }}
}

func (p *program) check(directory string, asJSON bool) int {
	files, faults, err := operatorfiles.Read(directory)
	if err != nil {
		return p.fail(err)
	}
	if asJSON {
		err = p.printJSON(faults)
	} else {
		err = p.printFaults(files, faults)
	}
	if err != nil {
		return p.fail(err)
	}
	if len(faults) > 0 {
		return exitFailure
	}
	return exitSuccess
}

func (p *program) printJSON(faults []schema.Fault) error {
	if faults == nil {
		faults = []schema.Fault{}
	}
	encoder := json.NewEncoder(p.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(faults)
}

func (p *program) printFaults(files *operatorfiles.Files, faults []schema.Fault) error {
	for _, f := range faults {
		if _, err := fmt.Fprintln(p.stdout, f); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(p.stdout, "%d files, %d faults\n", len(files.Paths), len(faults))
	return err
}

// fail prints an error and returns the exit code.
func (p *program) fail(err error) int {
	_, _ = fmt.Fprintln(p.stderr, "flamingohold:", err)
	return exitFailure
}
