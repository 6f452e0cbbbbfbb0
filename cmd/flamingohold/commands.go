package main

import (
	"io"

	"github.com/integrii/flaggy"
)

const exitCodeHelp = "\n  Exit codes:\n" +
	"    0  success\n" +
	"    1  faults were found, or the command failed\n" +
	"    2  the arguments are invalid\n" +
	"    3  a process cannot start or serve"

// program holds the output streams and the environment that all commands use.
type program struct {
	stdout, stderr io.Writer
	environment    func(string) (string, bool)
}

// command is one subcommand.
type command struct {
	flags *flaggy.Subcommand
	run   func() int
}

// commands returns the subcommands in the order in which the help lists them.
func (p *program) commands() []command {
	return []command{
		p.processCommand("gateway", "Run a gateway, which accepts requests of callers.", newGateway),
		p.processCommand("sidecar", "Run a sidecar, which accepts requests for one upstream.", newSidecar),
		p.hostCommand("router", "Run a router, which forwards requests of callers directly to upstreams.", newRouter),
		p.hostCommand("reporter", "Run a reporter, which reports the load of the upstream on the same instance.", newReporter),
		p.checkCommand(),
		p.collectCommand(),
		p.statusCommand(),
		p.explainCommand(),
		p.routeCommand(),
		p.versionCommand(),
	}
}

func newParser(commands []command) *flaggy.Parser {
	parser := flaggy.NewParser("flamingohold")
	parser.Description = "Serves generations of unknown length and orders that run at most once."
	parser.AdditionalHelpAppend = exitCodeHelp
	// collect has a flag --version; the version command prints the version.
	parser.ShowVersionWithVersionFlag = false
	for _, c := range commands {
		parser.AttachSubcommand(c.flags, 1)
	}
	return parser
}

// newCommand returns a subcommand with its help text and no flags.
func newCommand(name, description, examples string) *flaggy.Subcommand {
	flags := flaggy.NewSubcommand(name)
	flags.Description = description
	flags.AdditionalHelpAppend = "\n  Examples:" + examples + "\n" + exitCodeHelp
	return flags
}
