// Command flamingohold runs the system's processes and the operators' offline
// and operator commands.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitSuccess = 0
	// exitFailure is that of a command that found faults or could not finish.
	exitFailure = 1
	// exitUsage is that of arguments that are wrong. flaggy uses it too.
	exitUsage = 2
	// exitProcess is that of a gateway or sidecar that cannot start or serve.
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
