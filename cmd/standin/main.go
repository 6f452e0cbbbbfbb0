// Command standin runs stand-ins for the platform and the upstreams, publishes
// bundles to the configuration service, starts and stops the example deployments,
// and runs the load benchmark.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// command is one subcommand.
type command interface {
	// attach adds the subcommand to the parser and returns it.
	attach(parser *flaggy.Parser) *flaggy.Subcommand
	run(ctx context.Context) error
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := execute(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// execute parses the arguments and runs the chosen subcommand.
func execute(ctx context.Context, arguments []string) error {
	parser := flaggy.NewParser("standin")
	parser.Description = "Stand-ins for the platform and the upstreams, local deployments, load benchmark"
	commands := []command{
		newEngineCommand(), &plainCommand{}, newPlatformCommand(), &publishCommand{},
		&runCommand{}, &upCommand{}, &downCommand{}, &loadCommand{},
	}
	subcommands := make([]*flaggy.Subcommand, len(commands))
	for i, c := range commands {
		subcommands[i] = c.attach(parser)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return err
	}
	for i, c := range commands {
		if subcommands[i].Used {
			return c.run(ctx)
		}
	}
	parser.ShowHelp()
	return nil
}
