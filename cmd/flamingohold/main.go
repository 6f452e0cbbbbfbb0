// Command flamingohold runs the processes of the system (gateway, sidecar, router
// and reporter) and the commands with which operators check and publish the
// configuration and inspect running processes.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitSuccess = 0
	// exitFailure is returned by a command that found faults or failed.
	exitFailure = 1
	// exitUsage is returned for invalid arguments, also by flaggy.
	exitUsage = 2
	// exitProcess is returned by a process that cannot start or serve.
	exitProcess = 3
)

func main() {
	p := &program{stdout: os.Stdout, stderr: os.Stderr, environment: os.LookupEnv}
	os.Exit(p.run(os.Args[1:]))
}

// run parses the arguments, runs the command and returns the exit code.
func (p *program) run(arguments []string) int {
	commands := p.commands()
	parser := newParser(commands)
	if err := parser.ParseArgs(arguments); err != nil {
		_, _ = fmt.Fprintln(p.stderr, "flamingohold:", err)
		return exitUsage
	}
	for _, c := range commands {
		if c.flags.Used {
			return c.run()
		}
	}
	parser.ShowHelp()
	return exitUsage
}
