package main

import (
	"io"

	"github.com/integrii/flaggy"
)

const exitCodeHelp = "\n  Exit codes:\n" +
	"    0  success\n" +
	"    1  faults were found, or the command could not finish\n" +
	"    2  the arguments are wrong\n" +
	"    3  a process cannot start or serve"

// program is the surroundings of all commands.
type program struct {
	stdout, stderr io.Writer
	environment    func(string) (string, bool)
}

// command is one subcommand.
type command struct {
	flags *flaggy.Subcommand
	run   func() int
}

// commands returns the subcommands in the order of the help.
func (p *program) commands() []command {
	return []command{
		p.processCommand("gateway", "Serve callers.", newGateway),
		p.processCommand("sidecar", "Serve beside an upstream.", newSidecar),
		p.machineCommand("router", "Serve callers before upstreams that are reached directly.", newRouter),
		p.machineCommand("reporter", "Report on the upstream of the same machine.", newReporter),
		p.checkCommand(),
		p.collectCommand(),
		p.statusCommand(),
		p.explainCommand(),
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

// newCommand returns the flags of a subcommand with its help.
func newCommand(name, description, examples string) *flaggy.Subcommand {
	flags := flaggy.NewSubcommand(name)
	flags.Description = description
	flags.AdditionalHelpAppend = "\n  Examples:" + examples + "\n" + exitCodeHelp
	return flags
}
